package operator

import (
	"context"
	"errors"
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/label"
	"github.com/tarragonreach/tarragonreach/api/operations"
)

// Errors that a Fleet wraps.
var (
	// ErrNotFound means that no object of that name exists.
	ErrNotFound = errors.New("not found")
	// ErrRefused means that the fleet's rules do not allow the operation at present.
	ErrRefused = errors.New("not allowed at present")
	// ErrUnavailable means that the platform is unreachable.
	ErrUnavailable = errors.New("platform unreachable")
)

// Fleet reports the state of pools, instances, maintenance and jobs, and changes instances.
type Fleet interface {
	Pools() []operations.PoolStatus
	Instances() []operations.InstanceStatus
	Maintenance(ctx context.Context) []operations.MaintenanceStatus
	Jobs(ctx context.Context) ([]operations.JobStatus, error)
	Drain(ctx context.Context, id fleet.InstanceID, reason string) (operations.InstanceStatus, error)
	Undrain(ctx context.Context, id fleet.InstanceID) (operations.InstanceStatus, error)
	Relabel(ctx context.Context, id fleet.InstanceID, labels label.Set) (operations.InstanceStatus, error)
}

func addFleet(group *gin.RouterGroup, f Fleet) {
	group.GET(operations.PathPools, func(c *gin.Context) { c.JSON(http.StatusOK, f.Pools()) })
	group.GET(operations.PathInstances, func(c *gin.Context) { c.JSON(http.StatusOK, f.Instances()) })
	group.GET(operations.PathMaintenance, func(c *gin.Context) { c.JSON(http.StatusOK, f.Maintenance(c)) })
	group.GET(operations.PathJobs, listJobs(f))
	instance := group.Group(operations.PathInstances + "/:id")
	instance.POST("/drain", changeInstance(func(c *gin.Context, id fleet.InstanceID, change operations.InstanceChange) (operations.InstanceStatus, error) {
		return f.Drain(c, id, change.Reason)
	}))
	instance.POST("/undrain", changeInstance(func(c *gin.Context, id fleet.InstanceID, _ operations.InstanceChange) (operations.InstanceStatus, error) {
		return f.Undrain(c, id)
	}))
	instance.POST("/labels", changeInstance(func(c *gin.Context, id fleet.InstanceID, change operations.InstanceChange) (operations.InstanceStatus, error) {
		return f.Relabel(c, id, change.Labels)
	}))
}

func listJobs(f Fleet) gin.HandlerFunc {
	return func(c *gin.Context) {
		jobs, err := f.Jobs(c)
		if err != nil {
			refuseError(c, err)
			return
		}
		c.JSON(http.StatusOK, jobs)
	}
}

type instanceOperation func(*gin.Context, fleet.InstanceID, operations.InstanceChange) (operations.InstanceStatus, error)

func changeInstance(operation instanceOperation) gin.HandlerFunc {
	return func(c *gin.Context) {
		var change operations.InstanceChange
		if !readJSON(c, &change) {
			return
		}
		status, err := operation(c, fleet.InstanceID(c.Param("id")), change)
		if err != nil {
			refuseError(c, err)
			return
		}
		c.JSON(http.StatusOK, status)
	}
}

// refuseError refuses the request with the status of the error; errors other than those
// of this package give 500.
func refuseError(c *gin.Context, err error) {
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, ErrRefused):
		status = http.StatusConflict
	case errors.Is(err, ErrUnavailable):
		status = http.StatusServiceUnavailable
	}
	refuse(c, status, "the operation was refused", err.Error())
}
