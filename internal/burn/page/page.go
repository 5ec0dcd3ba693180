// Package page writes the report on service-level burn as one HTML page that
// needs nothing else: its plots are SVG, and it loads no script, font or image.
package page

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/burn/words"
	"github.com/sesamestream/sesamestream/pkg/burn"
	"github.com/sesamestream/sesamestream/pkg/table"
)

//go:embed page.html
var source string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"burn":     words.Burn,
	"duration": words.Duration,
	"signal":   words.SignalName,
	"meaning":  words.SignalMeaning,
	"state":    words.State,
	"share":    words.Share,
	"quantile": words.Quantile,
	"coverage": words.Coverage,
	"alert":    words.Alert,
	"distinct": words.DistinctWindows,
	"silent":   words.UnansweredProcesses,
	"signals":  burn.Signals,
	"budget":   budget,
	"fires":    fires,
	"first":    func(s burn.SignalReport) burn.AlertReport { return s.Alerts[0] },
	"time":     func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05 UTC") },
}).Parse(source))

// budget returns the error budget of a target.
func budget(target table.Share) table.Share {
	b, _ := burn.Budget(target)
	return table.Share(b)
}

// fires returns the name of the first alert of the signal that fires, empty for none.
func fires(s burn.SignalReport) string {
	name, _ := s.Firing()
	return name
}

// A view is what the page shows.
type view struct {
	burn.Report
	Sections []section
	// Firing has a line for each kind and alert.
	Firing []string
	// Empty tells that nothing was counted.
	Empty bool
}

// A section is the part of one kind.
type section struct {
	burn.KindReport
	Charts []chart
	// Firing names the alerts that fire for some signal.
	Firing []string
}

// Write writes the page.
func Write(w io.Writer, r burn.Report) error {
	v := view{Report: r, Empty: true}
	for _, k := range r.Kinds {
		s := section{KindReport: k, Charts: charts(r, k)}
		for _, a := range r.Alerts {
			if names := firing(k, a.Name); len(names) > 0 {
				s.Firing = append(s.Firing, a.Name)
				v.Firing = append(v.Firing, fmt.Sprintf("%s, %s: %s", k.Kind, a.Name, strings.Join(names, ", ")))
			}
		}
		for _, w := range k.Windows {
			v.Empty = v.Empty && w.Outcomes() == 0 && w.FloorAsked == 0
		}
		v.Sections = append(v.Sections, s)
	}
	return errors.Wrap(page.Execute(w, v), "page")
}

// firing returns the signals of the kind for which the alert fires.
func firing(k burn.KindReport, alert string) []string {
	var out []string
	for _, s := range k.Signals {
		for _, a := range s.Alerts {
			if a.Name == alert && a.State == burn.StateFiring {
				out = append(out, words.SignalName(s.Signal))
			}
		}
	}
	return out
}
