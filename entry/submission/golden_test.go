package submission

import (
	"encoding/hex"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/goldentest"
	"github.com/tarragonreach/tarragonreach/api/verdict"
)

// goldenFile was written by commit 81f8b51.
const goldenFile = "testdata/messages.txt"

// goldenOutcome has one header, since the encoder does not sort maps.
var goldenOutcome = wireOutcome{
	Verdict: verdict.Ran, Status: 201, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte("body"),
}

// These values have no zero fields.
var (
	goldenGrant        = grantID{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}
	goldenBegin        = beginRequest{Tenant: "tenant", Ticket: "ticket", Grant: goldenGrant, NotRun: []grantID{{1}, {2}}, Attempt: 3}
	goldenState        = stateReply{Phase: PhaseEnded, Outcome: goldenOutcome}
	goldenReply        = beginReply{Code: verdict.CodeDuplicate, Verdict: verdict.NotRun, Detail: "detail", State: goldenState}
	goldenFinish       = finishRequest{Tenant: "tenant", Ticket: "ticket", Grant: goldenGrant, Outcome: goldenOutcome}
	goldenStateRequest = stateRequest{Tenant: "tenant", Value: "value", Grant: goldenGrant}
	goldenClaim        = claim{Owner: "entry-1", Grant: goldenGrant, Ended: true, Verdict: verdict.Ran, Status: 201}
	goldenTicket       = ticket{
		minter: "entry-1", incarnation: incarnationID{1, 2, 3, 4, 5, 6, 7, 8}, expiry: 9, nonce: [nonceBytes]byte{10}, mac: [macBytes]byte{11},
	}
	goldenKey = Key{Tenant: "tenant", Value: "value"}
)

func testGolden[T any](t *testing.T, text string, want T) {
	t.Helper()
	payload, err := hex.DecodeString(text)
	assert.NilError(t, err)
	decoded, err := decodeMessage[T](payload)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, want)
	encoded, err := encodeMessage(decoded)
	assert.NilError(t, err)
	assert.Equal(t, hex.EncodeToString(encoded), text)
}

// TestMessagesKeepTheirForm guards against changed CBOR keys, by which an instance of another
// version would misread the state of a submission and run it twice.
func TestMessagesKeepTheirForm(t *testing.T) {
	values := goldentest.ReadEntries(t, goldenFile)
	testGolden(t, values["begin"], goldenBegin)
	testGolden(t, values["begin-reply"], goldenReply)
	testGolden(t, values["finish"], goldenFinish)
	testGolden(t, values["finish-reply"], finishReply{})
	testGolden(t, values["state"], goldenStateRequest)
	testGolden(t, values["state-reply"], goldenState)
	assert.DeepEqual(t, []string{MethodBegin, MethodFinish, MethodState},
		[]string{"submission/begin", "submission/finish", "submission/state"})
}

// TestClaimKeepsItsForm guards against changed keys or values of stored claims, and against
// changed tickets: either would let a submission run twice.
func TestClaimKeepsItsForm(t *testing.T) {
	values := goldentest.ReadEntries(t, goldenFile)
	value, err := hex.DecodeString(values["claim"])
	assert.NilError(t, err)
	decoded := decodeClaim(value)
	assert.DeepEqual(t, decoded, goldenClaim)
	encoded, err := decoded.encode()
	assert.NilError(t, err)
	assert.DeepEqual(t, encoded, value)
	assert.Equal(t, claimKey(goldenKey), values["claim-key"])
	decodedTicket, err := decodeTicket(values["ticket"])
	assert.NilError(t, err)
	assert.Assert(t, decodedTicket == goldenTicket)
	assert.Equal(t, decodedTicket.encode(), values["ticket"])
}

// TestPhasesKeepTheirNumbers guards against reordered phases, which are sent as numbers.
func TestPhasesKeepTheirNumbers(t *testing.T) {
	assert.DeepEqual(t, []Phase{PhaseUnknown, PhaseInProgress, PhaseEnded, PhaseReleased}, []Phase{0, 1, 2, 3})
}
