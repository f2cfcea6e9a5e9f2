// Package operator implements the operator listener of an entry instance: probes,
// metrics, and the operations for operators.
package operator

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/tarragonreach/tarragonreach/api/operations"
)

// LogLevel reads and changes the log level.
type LogLevel interface {
	Level() string
	SetLevel(name string) error
}

// Options holds what the operator listener reports and controls.
type Options struct {
	// Token is the required bearer token; empty if TLS or loopback protects the listener.
	Token        string
	MaxBodyBytes int64
	Status       func() operations.Status
	Log          LogLevel
	Metrics      http.Handler
	Config       Config
	Fleet        Fleet
	Explainer    Explainer
}

// New returns the handler of the operator listener.
func New(o Options) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.Use(gin.Recovery(), limitBody(o.MaxBodyBytes))
	engine.NoRoute(func(c *gin.Context) {
		refuse(c, http.StatusNotFound, "no such path", c.Request.URL.Path)
	})
	addProbes(engine, o.Status)
	guarded := engine.Group("", authenticate(o.Token))
	guarded.GET(operations.PathMetrics, gin.WrapH(o.Metrics))
	guarded.GET(operations.PathStatus, func(c *gin.Context) { c.JSON(http.StatusOK, o.Status()) })
	guarded.POST(operations.PathLogLevel, setLogLevel(o.Log))
	addConfig(guarded, o.Config)
	addFleet(guarded, o.Fleet)
	addExplain(guarded, o.Explainer)
	return engine
}

func addProbes(engine *gin.Engine, status func() operations.Status) {
	engine.GET(operations.PathHealth, func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	engine.GET(operations.PathReady, gin.WrapH(Readiness(status)))
}

// Readiness returns the handler of load balancers' readiness probes, which responds with
// 200, or with 503 and one line per reason.
func Readiness(status func() operations.Status) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s := status()
		if !s.Ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		for _, reason := range s.NotReady {
			w.Write([]byte(reason + "\n"))
		}
		if s.Ready {
			w.Write([]byte("ready\n"))
		}
	})
}

func setLogLevel(log LogLevel) gin.HandlerFunc {
	return func(c *gin.Context) {
		var body operations.LogLevel
		if !readJSON(c, &body) {
			return
		}
		if err := log.SetLevel(body.Level); err != nil {
			refuse(c, http.StatusUnprocessableEntity, "the level is not valid", err.Error())
			return
		}
		c.JSON(http.StatusOK, operations.LogLevel{Level: log.Level()})
	}
}
