package verdict

import "net/http"

// Code is a stable reason code. Callers may act on it; it never changes meaning.
type Code string

// Reason codes of the request path.
const (
	CodeInternal                Code = "internal"
	CodeBadRequest              Code = "bad-request"
	CodeUnknownService          Code = "unknown-service"
	CodeUnknownClass            Code = "unknown-class"
	CodeUnknownTenant           Code = "unknown-tenant"
	CodeBodyTooLarge            Code = "body-too-large"
	CodeQueueFull               Code = "queue-full"
	CodeQuotaExceeded           Code = "quota-exceeded"
	CodeWaitExceedsTimeout      Code = "wait-exceeds-timeout"
	CodeTimeout                 Code = "timeout"
	CodeCanceled                Code = "canceled"
	CodeNoBackendServer         Code = "no-backend-server"
	CodeConnectFailed           Code = "connect-failed"
	CodeBackendServerBusy       Code = "backend-server-busy"
	CodeBackendServerLeaving    Code = "backend-server-leaving"
	CodeConnectionLost          Code = "connection-lost"
	CodeResponseTruncated       Code = "answer-truncated"
	CodeResponseTooLarge        Code = "answer-too-large"
	CodeResponseMismatched      Code = "answer-mismatched"
	CodeShuttingDown            Code = "shutting-down"
	CodeDuplicate               Code = "duplicate"
	CodeTicketInvalid           Code = "ticket-invalid"
	CodeTicketMinterUnreachable Code = "ticket-minter-unreachable"
	CodeClaimUnavailable        Code = "claim-unavailable"
	CodeClaimCapacity           Code = "claim-capacity"
)

// Status returns the HTTP status that goes with the code.
func (c Code) Status() int {
	switch c {
	case CodeBadRequest, CodeUnknownClass, CodeUnknownTenant, CodeTicketInvalid:
		return http.StatusBadRequest
	case CodeUnknownService:
		return http.StatusNotFound
	case CodeBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case CodeQuotaExceeded:
		return http.StatusTooManyRequests
	case CodeDuplicate:
		return http.StatusConflict
	case CodeTimeout:
		return http.StatusGatewayTimeout
	case CodeConnectFailed, CodeConnectionLost, CodeResponseTruncated, CodeResponseTooLarge, CodeResponseMismatched:
		return http.StatusBadGateway
	case CodeInternal:
		return http.StatusInternalServerError
	case CodeCanceled:
		return StatusClientClosedRequest
	default:
		return http.StatusServiceUnavailable
	}
}

// StatusClientClosedRequest is logged for a caller that went away; no caller sees it.
const StatusClientClosedRequest = 499
