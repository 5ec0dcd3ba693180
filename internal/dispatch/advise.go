package dispatch

import (
	"context"
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide/schedule"
)

// An Adviser asks the policy service which of the workers named in w may run a
// step. It returns a ticket for each permitted worker and how long the tickets
// are valid.
type Adviser func(ctx context.Context, w schedule.AdviceRequest) (tickets map[string]string, valid time.Duration, err error)

// requestAdvice sends a request to the policy service, and hands the scheduler the
// answer. Without a service the request fails at once.
func (d *Dispatcher) requestAdvice(w schedule.AdviceRequest) {
	if d.Advise == nil {
		d.scheduler.HandleAdvice(time.Now(), w, nil, 0, true)
		return
	}
	d.background.Go(func() {
		c, cancel := context.WithTimeout(d.ctx, schedule.AdviceTimeout)
		defer cancel()
		tickets, valid, err := d.Advise(c, w)
		if err != nil {
			d.Log.Warn().Err(err).Str("job", string(w.Job)).Int("step", w.Step).Msg("policy service request failed")
		}
		d.post(func(now time.Time) { d.scheduler.HandleAdvice(now, w, tickets, valid, err != nil) })
	})
}
