package instance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/model"
)

// TestClaimOutlivesDeadline guards against accepting a duplicate of a message whose
// original has not been answered yet. This happens if the table drops an id at the
// deadline; both messages then wait for an answer under the same id.
func TestClaimOutlivesDeadline(t *testing.T) {
	claims := claimTable{claims: make(map[model.AttemptID]claim)}
	deadline := time.Unix(100, 0)
	id := model.AttemptID{1}
	must.True(t, claims.claim(id, deadline))
	claims.expire(deadline.Add(time.Hour))
	must.False(t, claims.claim(id, deadline))
	claims.markAnswered(id)
	claims.expire(deadline)
	must.False(t, claims.claim(id, deadline))
	claims.expire(deadline.Add(1))
	must.True(t, claims.claim(id, deadline))
}
