package explain

// Request returns the subject of a caller's request by its Tarragon-Request-Id.
func Request(id string) Subject { return Subject{SubjectRequest, id} }

// ActionRespond is the gateway's answer to a request that it refused or that
// failed. The reason of such a record is the answer's reason code.
const ActionRespond Action = "answer-request"
