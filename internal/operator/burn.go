package operator

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/burn"
)

// PathBurn is where the report on service-level burn is read. Its query takes
// any number of ParameterAlert and one ParameterSpan.
const PathBurn = "/v1/burn"

// The parameters of PathBurn.
const (
	// ParameterAlert is an alert as burn.ParseAlert reads it; without any, the
	// defaults are used.
	ParameterAlert = "alert"
	// ParameterSpan is how far the series goes back; without it, the long window
	// of the first alert.
	ParameterSpan = "span"
)

// BurnReporter reports on service-level burn.
type BurnReporter interface {
	// BurnReport asks all processes known here. Its error is burn.ErrInvalid.
	BurnReport(ctx context.Context, alerts []burn.Alert, span time.Duration) (burn.Report, error)
}

// HandleBurn registers the query of service-level burn.
func (s *Server) HandleBurn(x BurnReporter) {
	s.Handle("GET "+PathBurn, func(w http.ResponseWriter, r *http.Request) {
		alerts, span, err := burnParameters(r.URL.Query())
		if err != nil {
			ReplyError(w, http.StatusBadRequest, err)
			return
		}
		b, err := x.BurnReport(r.Context(), alerts, span)
		if err != nil {
			ReplyError(w, http.StatusBadRequest, err)
			return
		}
		Reply(w, http.StatusOK, b)
	})
}

func burnParameters(v url.Values) ([]burn.Alert, time.Duration, error) {
	var alerts []burn.Alert
	for _, s := range v[ParameterAlert] {
		a, err := burn.ParseAlert(s)
		if err != nil {
			return nil, 0, err
		}
		alerts = append(alerts, a)
	}
	if len(alerts) == 0 {
		alerts = burn.Defaults()
	}
	if !v.Has(ParameterSpan) {
		return alerts, alerts[0].Long, nil
	}
	span, err := time.ParseDuration(v.Get(ParameterSpan))
	return alerts, span, errors.WithMessage(err, ParameterSpan)
}
