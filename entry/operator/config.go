package operator

import (
	"context"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/api/operations"
)

// defaultHistoryLimit is the number of changes that a history response lists if the
// request sets no limit.
const defaultHistoryLimit = 20

// Edit is a configuration change that an operator submits.
type Edit struct {
	Text   []byte // the request body, unchanged
	Author string
	Reason string
	DryRun bool
}

// Config reads and changes the configuration. Its errors, such as a conflict or faults
// in the document, are mapped to problems by Refusal.
type Config interface {
	Document() operations.ConfigDocument
	Apply(ctx context.Context, edit Edit) (operations.ApplyResult, error)
	Rollback(ctx context.Context, to object.Revision, author, reason string) (operations.ApplyResult, error)
	History(ctx context.Context, limit int) ([]operations.HistoryEntry, error)
	Rollouts(ctx context.Context) []operations.Rollout
	// Refusal maps an error of the other methods to the problem that is sent to the operator.
	Refusal(err error) operations.Problem
}

func addConfig(group *gin.RouterGroup, config Config) {
	group.GET(operations.PathConfig, func(c *gin.Context) { c.JSON(http.StatusOK, config.Document()) })
	group.GET(operations.PathConfigStatus, func(c *gin.Context) { c.JSON(http.StatusOK, config.Rollouts(c)) })
	group.GET(operations.PathConfigHistory, history(config))
	group.POST(operations.PathConfigChanges, apply(config))
	group.POST(operations.PathRollback, rollback(config))
}

func history(config Config) gin.HandlerFunc {
	return func(c *gin.Context) {
		limit, err := strconv.Atoi(c.DefaultQuery("limit", strconv.Itoa(defaultHistoryLimit)))
		if err != nil || limit < 1 {
			refuse(c, http.StatusBadRequest, "the limit is not valid", "want a number above zero")
			return
		}
		entries, err := config.History(c, limit)
		respondConfig(c, config, entries, err)
	}
}

func apply(config Config) gin.HandlerFunc {
	return func(c *gin.Context) {
		text, ok := readBody(c)
		if !ok {
			return
		}
		dryRun, err := strconv.ParseBool(c.DefaultQuery(operations.QueryDryRun, "false"))
		if err != nil {
			refuse(c, http.StatusBadRequest, "dryRun is not valid", "want true or false")
			return
		}
		edit := Edit{Text: text, Author: c.Query("author"), Reason: c.Query("reason"), DryRun: dryRun}
		result, err := config.Apply(c, edit)
		respondConfig(c, config, result, err)
	}
}

func rollback(config Config) gin.HandlerFunc {
	return func(c *gin.Context) {
		var body operations.Rollback
		if !readJSON(c, &body) {
			return
		}
		result, err := config.Rollback(c, body.Revision, c.Query("author"), body.Reason)
		respondConfig(c, config, result, err)
	}
}

// respondConfig sends value, or the problem of err.
func respondConfig(c *gin.Context, config Config, value any, err error) {
	if err == nil {
		c.JSON(http.StatusOK, value)
		return
	}
	p := config.Refusal(err)
	refuse(c, p.Status, p.Title, p.Detail, p.Faults...)
}
