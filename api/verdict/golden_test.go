package verdict

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var goldenCodes = []Code{
	CodeInternal, CodeBadRequest, CodeUnknownService, CodeUnknownClass, CodeUnknownTenant, CodeBodyTooLarge, CodeQueueFull,
	CodeQuotaExceeded, CodeWaitExceedsTimeout, CodeTimeout, CodeCanceled, CodeNoBackendServer, CodeConnectFailed,
	CodeBackendServerBusy, CodeBackendServerLeaving, CodeConnectionLost, CodeResponseTruncated, CodeResponseTooLarge,
	CodeResponseMismatched, CodeShuttingDown, CodeDuplicate, CodeTicketInvalid, CodeTicketMinterUnreachable,
	CodeClaimUnavailable, CodeClaimCapacity,
}

// goldenText has a line for each code with its status, and for each verdict with its number.
func goldenText() string {
	var out strings.Builder
	for _, code := range goldenCodes {
		fmt.Fprintln(&out, code, code.Status())
	}
	for _, v := range []Verdict{MayHaveRun, NotRun, Ran} {
		fmt.Fprintln(&out, v, uint8(v))
	}
	return out.String()
}

// TestCodesKeepTheirForm guards against changed codes, statuses and verdicts, by which callers
// decide whether to repeat a request. The file was written by commit 81f8b51.
func TestCodesKeepTheirForm(t *testing.T) {
	want, err := os.ReadFile("testdata/codes.txt")
	assert.NilError(t, err)
	assert.Equal(t, goldenText(), string(want))
	for _, v := range []Verdict{MayHaveRun, NotRun, Ran} {
		parsed, err := Parse(v.String())
		assert.NilError(t, err)
		assert.Equal(t, parsed, v)
	}
}
