package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/overload"
	"github.com/sesamestream/sesamestream/pkg/decide/schedule"
)

// ErrNoScheduler is returned where no scheduler answers.
var ErrNoScheduler = errors.New("gateway: no scheduler answers")

// A Prospect tells what would become of a job that is submitted now.
type Prospect struct {
	// Refused is set if the submission would be refused, with RetryAfterSeconds.
	Refused           bool `json:"refused"`
	RetryAfterSeconds int  `json:"retryAfterSeconds,omitempty"`
	// Reason is why the job would be admitted or refused.
	Reason overload.Reason `json:"reason"`
	// EstimatedStartSeconds and EstimatedEndSeconds are when it would start and end, counted from
	// now. They are nil where Reason tells that no estimate is needed or certain.
	EstimatedStartSeconds *float64 `json:"estimatedStartSeconds,omitempty"`
	EstimatedEndSeconds   *float64 `json:"estimatedEndSeconds,omitempty"`
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
	d := g.decideForLoad(time.Now(), j)
	p := Prospect{Explanation: *r.Explanation, Refused: d.Refuse, RetryAfterSeconds: int(d.RetryAfter.Seconds()), Reason: d.Reason}
	if d.Estimate.Certain {
		start, end := d.Estimate.Start.Seconds(), d.Estimate.End.Seconds()
		p.EstimatedStartSeconds, p.EstimatedEndSeconds = &start, &end
	}
	if g.StoreDown() {
		p.Refused, p.RetryAfterSeconds, p.Reason = true, int(g.refusedResult().RetryAfter.Seconds()), storeAway
	}
	return p, nil
}

// storeAway is the reason of a refusal while the store can't keep the job.
const storeAway overload.Reason = "storeAway"
