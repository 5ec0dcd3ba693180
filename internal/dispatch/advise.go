package dispatch

import (
	"context"
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide/schedule"
)

// An Adviser asks the policy service which workers may run a step. It returns
// a ticket for each that may, and how long the tickets are valid.
type Adviser func(ctx context.Context, w schedule.Want) (tickets map[string]string, valid time.Duration, err error)

const (
	// adviceTimeout bounds one question; the service takes some milliseconds for each worker named.
	adviceTimeout = 2 * time.Second
	// adviceQueue is how many questions wait: the service serves one at a time and refuses beyond 32.
	adviceQueue = 256
)

// ask queues a question; one that finds the queue full is asked again by the decision.
func (d *Dispatcher) ask(w schedule.Want) {
	if d.Advise == nil {
		d.plan.Advised(time.Now(), w, nil, 0, true)
		return
	}
	select {
	case d.wants <- w:
	default:
		d.plan.Advised(time.Now(), w, nil, 0, true)
	}
}

// advise asks one question after the other, as the service does no more for one machine.
func (d *Dispatcher) advise(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-d.wants:
			c, cancel := context.WithTimeout(ctx, adviceTimeout)
			tickets, valid, err := d.Advise(c, w)
			cancel()
			if err != nil {
				d.Log.Warn().Err(err).Str("job", string(w.Job)).Int("step", w.Step).Msg("no advice")
			}
			d.post(func(now time.Time) { d.plan.Advised(now, w, tickets, valid, err != nil) })
		}
	}
}
