package operator

import (
	"context"
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/tarragonreach/tarragonreach/api/operations"
)

// Explainer collects the decisions about one subject, newest first, from every
// reachable entry instance.
type Explainer interface {
	Explain(ctx context.Context, kind, name string) ([]operations.Explanation, error)
}

func addExplain(group *gin.RouterGroup, e Explainer) {
	group.GET(operations.PathExplain+"/:kind/:name", func(c *gin.Context) {
		explanations, err := e.Explain(c, c.Param("kind"), c.Param("name"))
		if err != nil {
			refuseError(c, err)
			return
		}
		c.JSON(http.StatusOK, explanations)
	})
}
