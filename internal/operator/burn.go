package operator

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/burn"
)

// PathBurn is the path of the report on error-budget burn rates. Its query takes any number of
// ParameterAlert and one ParameterSpan.
const PathBurn = "/v1/burn"

// Query parameters of PathBurn.
const (
	// ParameterAlert is an alert in the syntax of burn.ParseAlert; without it, burn.DefaultAlerts are used.
	ParameterAlert = "alert"
	// ParameterSpan is how far the series goes back; the default is the long window of the first alert.
	ParameterSpan = "span"
)

// A BurnReporter reports how fast requests spend their error budgets.
type BurnReporter interface {
	// BurnReport collects the report from all known processes. Its error is burn.ErrInvalid.
	BurnReport(ctx context.Context, alerts []burn.Alert, span time.Duration) (burn.Report, error)
}

// HandleBurn registers the query for the burn report.
func (s *Server) HandleBurn(x BurnReporter) {
	s.Handle("GET "+PathBurn, func(w http.ResponseWriter, r *http.Request) {
		alerts, span, err := parseBurnQuery(r.URL.Query())
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

func parseBurnQuery(v url.Values) ([]burn.Alert, time.Duration, error) {
	var alerts []burn.Alert
	for _, s := range v[ParameterAlert] {
		a, err := burn.ParseAlert(s)
		if err != nil {
			return nil, 0, err
		}
		alerts = append(alerts, a)
	}
	if len(alerts) == 0 {
		alerts = burn.DefaultAlerts()
	}
	if !v.Has(ParameterSpan) {
		return alerts, alerts[0].Long, nil
	}
	span, err := time.ParseDuration(v.Get(ParameterSpan))
	return alerts, span, errors.WithMessage(err, ParameterSpan)
}
