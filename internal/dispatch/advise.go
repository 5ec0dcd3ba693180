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

const (
	// adviceCallTimeout bounds one request; the service takes a few milliseconds for each worker named.
	adviceCallTimeout = 2 * time.Second
	// adviceQueueSize is how many requests may wait here, as the service serves one at a time and refuses more than 32.
	adviceQueueSize = 256
)

// requestAdvice queues a request to the policy service. If the queue is full or
// there is no service, it reports the request as failed, so that the scheduler
// makes it again.
func (d *Dispatcher) requestAdvice(w schedule.AdviceRequest) {
	if d.Advise == nil {
		d.scheduler.HandleAdvice(time.Now(), w, nil, 0, true)
		return
	}
	select {
	case d.adviceRequests <- w:
	default:
		d.scheduler.HandleAdvice(time.Now(), w, nil, 0, true)
	}
}

// serveAdviceRequests sends queued requests one at a time, as the service
// serves no more than that for one machine.
func (d *Dispatcher) serveAdviceRequests(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-d.adviceRequests:
			c, cancel := context.WithTimeout(ctx, adviceCallTimeout)
			tickets, valid, err := d.Advise(c, w)
			cancel()
			if err != nil {
				d.Log.Warn().Err(err).Str("job", string(w.Job)).Int("step", w.Step).Msg("policy service request failed")
			}
			d.post(func(now time.Time) { d.scheduler.HandleAdvice(now, w, tickets, valid, err != nil) })
		}
	}
}
