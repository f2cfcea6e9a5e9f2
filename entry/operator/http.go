package operator

import (
	"crypto/subtle"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/gin-gonic/gin"

	"github.com/tarragonreach/tarragonreach/api/operations"
	"github.com/tarragonreach/tarragonreach/api/strictjson"
)

// authenticate refuses requests without the bearer token; an empty token admits all.
func authenticate(token string) gin.HandlerFunc {
	return func(c *gin.Context) {
		if token == "" {
			return
		}
		sent, _ := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(sent), []byte(token)) != 1 {
			c.Header("WWW-Authenticate", "Bearer")
			refuse(c, http.StatusUnauthorized, "the operator token is missing or wrong", "send it as a bearer token")
		}
	}
}

func limitBody(limit int64) gin.HandlerFunc {
	return func(c *gin.Context) {
		c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, limit)
	}
}

// refuse ends the request with a problem document.
func refuse(c *gin.Context, status int, title, detail string, faults ...string) {
	c.Header("Content-Type", operations.ProblemContentType)
	c.AbortWithStatusJSON(status, operations.Problem{Title: title, Status: status, Detail: detail, Faults: faults})
}

// readBody returns the whole body, or refuses the request and returns false.
func readBody(c *gin.Context) ([]byte, bool) {
	text, err := io.ReadAll(c.Request.Body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		refuse(c, http.StatusRequestEntityTooLarge, "the body is too large", err.Error())
	case err != nil:
		refuse(c, http.StatusBadRequest, "the body could not be read", err.Error())
	}
	return text, err == nil
}

// readJSON decodes the body strictly, or refuses the request and returns false.
func readJSON(c *gin.Context, into any) bool {
	text, ok := readBody(c)
	if !ok {
		return false
	}
	if _, err := strictjson.Decode(text, into); err != nil {
		refuseFaults(c, err)
		return false
	}
	return true
}

// refuseFaults refuses the request with 422 and one entry for each fault of the document.
func refuseFaults(c *gin.Context, err error) {
	refuse(c, http.StatusUnprocessableEntity, "the document is not valid", "", strings.Split(err.Error(), "\n")...)
}
