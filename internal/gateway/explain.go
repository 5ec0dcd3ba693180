package gateway

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/schedule"
)

// ErrNoScheduler is returned where no scheduler answers.
var ErrNoScheduler = errors.New("gateway: no scheduler answers")

// A Prospect tells what would become of a job that is submitted now.
type Prospect struct {
	// Refused is set if the submission would be refused, with RetryAfterSeconds.
	Refused           bool `json:"refused"`
	RetryAfterSeconds int  `json:"retryAfterSeconds,omitempty"`
	schedule.Explanation
}

// Explain tells what would become of j if it were submitted now. Nothing is submitted.
func (g *Gateway) Explain(ctx context.Context, j *batch.Job) (Prospect, error) {
	b, err := json.Marshal(j)
	if err != nil {
		return Prospect{}, errors.Wrap(err, "gateway: explain")
	}
	r, ok := g.query(ctx, link.Query{Job: j.ID, Explain: b})
	if !ok || r.Explanation == nil {
		return Prospect{}, ErrNoScheduler
	}
	p := Prospect{Explanation: *r.Explanation}
	if g.StoreDown() {
		p.Refused, p.RetryAfterSeconds = true, int(g.refusedResult().RetryAfter.Seconds())
	}
	return p, nil
}
