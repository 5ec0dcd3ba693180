// Package page renders a burn report as one self-contained HTML page. Its charts are
// inline SVG, and it loads no scripts, fonts or images.
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
var pageSource string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
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
	"fires":    firingAlert,
	"first":    func(s burn.SignalReport) burn.AlertReport { return s.Alerts[0] },
	"time":     func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05 UTC") },
}).Parse(pageSource))

// budget returns the error budget for a target.
func budget(target table.Share) table.Share {
	b, _ := burn.Budget(target)
	return table.Share(b)
}

// firingAlert returns the name of the first alert of the signal that fires, or "".
func firingAlert(s burn.SignalReport) string {
	name, _ := s.Firing()
	return name
}

// pageData is the input of the page template.
type pageData struct {
	burn.Report
	Sections []section
	// Firing has one line for each kind and alert that fires.
	Firing []string
	// Empty is set if nothing was counted.
	Empty bool
}

// section is the part of the page for one kind.
type section struct {
	burn.KindReport
	Charts []chart
	// Firing holds the names of the alerts that fire for at least one signal.
	Firing []string
}

// Write renders r as an HTML page to w.
func Write(w io.Writer, r burn.Report) error {
	v := pageData{Report: r, Empty: true}
	for _, k := range r.Kinds {
		s := section{KindReport: k, Charts: charts(r, k)}
		for _, a := range r.Alerts {
			if names := firingSignals(k, a.Name); len(names) > 0 {
				s.Firing = append(s.Firing, a.Name)
				v.Firing = append(v.Firing, fmt.Sprintf("%s, %s: %s", k.Kind, a.Name, strings.Join(names, ", ")))
			}
		}
		for _, w := range k.Windows {
			v.Empty = v.Empty && w.Outcomes() == 0 && w.FloorAsked == 0
		}
		v.Sections = append(v.Sections, s)
	}
	return errors.Wrap(pageTemplate.Execute(w, v), "page")
}

// firingSignals returns the names of the signals of k for which the alert fires.
func firingSignals(k burn.KindReport, alert string) []string {
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
