package table

import (
	"fmt"
	"math"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/document"
)

// ErrInvalid is the cause of every error about a table that breaks a rule.
var ErrInvalid = document.ErrInvalid

// maxRows bounds the kinds and the teams of one table.
const maxRows = 1000

// shareSlack forgives the rounding of shares that add up to the whole.
const shareSlack = 1e-9

// Check returns an error that wraps ErrInvalid where t breaks a rule.
func (t *Table) Check() error {
	faults := t.Violations()
	if len(faults) == 0 {
		return nil
	}
	return errors.Wrapf(ErrInvalid, "%s: %s", faults[0].Path, faults[0].Message)
}

// Violations returns every rule that t breaks.
func (t *Table) Violations() []document.Violation {
	var faults []document.Violation
	if len(t.Rows) > maxRows || len(t.Teams) > maxRows {
		faults = append(faults, document.Violation{Path: "$", Message: fmt.Sprintf("more than %d rows", maxRows)})
	}
	faults = append(faults, t.kindFaults()...)
	faults = append(faults, t.teamFaults()...)
	return append(faults, t.sumFaults()...)
}

func (t *Table) kindFaults() []document.Violation {
	var faults []document.Violation
	seen := make(map[string]bool, len(t.Rows))
	for i, r := range t.Rows {
		at := fmt.Sprintf("$.kinds[%d]", i)
		if seen[string(r.Kind)] {
			faults = append(faults, document.Violation{Path: at + ".kind", Message: fmt.Sprintf("duplicate row of kind %q", r.Kind)})
		}
		seen[string(r.Kind)] = true
		faults = append(faults, r.faults(at)...)
	}
	return faults
}

func (t *Table) teamFaults() []document.Violation {
	var faults []document.Violation
	seen := make(map[string]bool, len(t.Teams))
	for i, r := range t.Teams {
		at := fmt.Sprintf("$.teams[%d]", i)
		if seen[string(r.Team)] {
			faults = append(faults, document.Violation{Path: at + ".team", Message: fmt.Sprintf("duplicate row of team %q", r.Team)})
		}
		seen[string(r.Team)] = true
		faults = append(faults, r.faults(at)...)
	}
	return faults
}

// sumFaults checks that the floors of each sort of capacity fit the whole:
// requests share connections, batch and services share slots.
func (t *Table) sumFaults() []document.Violation {
	var requests, tasks Share
	for _, r := range t.Rows {
		if r.Class == ClassRequest {
			requests += r.Floor
		} else {
			tasks += r.Floor
		}
	}
	var faults []document.Violation
	if requests > 1+shareSlack {
		faults = append(faults, document.Violation{Path: "$.kinds", Message: fmt.Sprintf("floors of requests add up to %.4g, more than the whole", requests)})
	}
	if tasks > 1+shareSlack {
		faults = append(faults, document.Violation{Path: "$.kinds", Message: fmt.Sprintf("floors of batch and services add up to %.4g, more than the whole", tasks)})
	}
	return faults
}

func (r Row) faults(at string) []document.Violation {
	c := checker{at: at}
	c.name("kind", string(r.Kind))
	c.that(r.Class == ClassRequest || r.Class == ClassBatch || r.Class == ClassService, "class", "must be request, batch or service")
	c.that(r.Weight > 0 && !math.IsInf(r.Weight, 0), "weight", "must be above 0")
	c.share("floor", r.Floor)
	c.share("ceiling", r.Ceiling)
	c.share("target", r.Target)
	c.that(r.Ceiling > 0, "ceiling", "must be above 0")
	c.that(r.Floor <= r.Ceiling, "ceiling", fmt.Sprintf("ceiling %.4g is under floor %.4g", r.Ceiling, r.Floor))
	c.that(r.Deadline >= 0, "deadline", "must not be negative")
	c.that(r.Class != ClassRequest || r.Deadline > 0, "deadline", "a request kind needs a deadline above 0")
	c.that(r.Objective >= 0, "objective", "must not be negative")
	c.that(r.LinkRate >= 0, "linkRate", "must not be negative")
	c.that(r.CrossRegion || r.LinkRate == 0, "linkRate", "needs crossRegion: true")
	return c.faults
}

func (r TeamRow) faults(at string) []document.Violation {
	c := checker{at: at}
	c.name("team", string(r.Team))
	c.that(r.Weight > 0 && !math.IsInf(r.Weight, 0), "weight", "must be above 0")
	c.share("quota", r.Quota)
	c.that(r.Quota > 0, "quota", "must be above 0")
	return c.faults
}

// A checker gathers the faults of one row.
type checker struct {
	at     string
	faults []document.Violation
}

func (c *checker) that(ok bool, field, message string) {
	if !ok {
		c.faults = append(c.faults, document.Violation{Path: c.at + "." + field, Message: message})
	}
}

func (c *checker) share(field string, s Share) {
	c.that(s >= 0 && s <= 1, field, "must be a share between 0 and 1")
}

// name checks that a name can stand in a path: a-z, 0-9, '-' and '_', 1 to 63 characters.
func (c *checker) name(field, s string) {
	ok := s != "" && len(s) <= 63
	for _, x := range s {
		ok = ok && (x >= 'a' && x <= 'z' || x >= '0' && x <= '9' || x == '-' || x == '_')
	}
	c.that(ok, field, "must be 1 to 63 characters of a-z, 0-9, '-' and '_'")
}
