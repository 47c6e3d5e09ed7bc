package platform

import (
	"net/http"
	"testing"

	"github.com/pkg/errors"
)

// A write was answered by an error whose body could not be read. Unless the status
// states that nothing was done, the write may have taken effect.
func TestWriteWithUnreadableErrorIsUnknown(t *testing.T) {
	cause := errors.New("connection reset")
	for status, unknown := range map[int]bool{
		http.StatusInternalServerError: true, http.StatusBadGateway: true, http.StatusGatewayTimeout: true,
		http.StatusServiceUnavailable: false, http.StatusBadRequest: false,
	} {
		for _, op := range []Op{OpPut, OpDelete, OpGet} {
			_, err := nativeDialect{}.Decode(Call{Op: op}, HTTPResponse{Status: status, Header: http.Header{}, BodyErr: cause})
			if got, want := errors.Is(err, ErrUnknownOutcome), unknown && op.writes(); got != want {
				t.Errorf("operation %d, status %d: unknown outcome %t, want %t", op, status, got, want)
			}
		}
	}
}
