package table

import (
	"fmt"
	"math"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/document"
)

// ErrInvalid matches, with errors.Is, every error about a table that breaks a rule.
var ErrInvalid = document.ErrInvalid

// maxRows is the maximum number of kinds, and of teams, in a table.
const maxRows = 1000

// shareTolerance allows for rounding when shares add up to 1.
const shareTolerance = 1e-9

// Check returns an error that wraps ErrInvalid where t breaks a rule.
func (t *Table) Check() error {
	violations := t.Violations()
	if len(violations) == 0 {
		return nil
	}
	return errors.Wrapf(ErrInvalid, "%s: %s", violations[0].Path, violations[0].Message)
}

// Violations returns every rule that t breaks.
func (t *Table) Violations() []document.Violation {
	var violations []document.Violation
	if len(t.Rows) > maxRows || len(t.Teams) > maxRows {
		violations = append(violations, document.Violation{Path: "$", Message: fmt.Sprintf("more than %d rows", maxRows)})
	}
	violations = append(violations, t.kindViolations()...)
	violations = append(violations, t.teamViolations()...)
	return append(violations, t.floorSumViolations()...)
}

func (t *Table) kindViolations() []document.Violation {
	var violations []document.Violation
	seen := make(map[string]bool, len(t.Rows))
	for i, r := range t.Rows {
		path := fmt.Sprintf("$.kinds[%d]", i)
		if seen[string(r.Kind)] {
			violations = append(violations, document.Violation{Path: path + ".kind", Message: fmt.Sprintf("duplicate row of kind %q", r.Kind)})
		}
		seen[string(r.Kind)] = true
		violations = append(violations, r.violations(path)...)
	}
	return violations
}

func (t *Table) teamViolations() []document.Violation {
	var violations []document.Violation
	seen := make(map[string]bool, len(t.Teams))
	for i, r := range t.Teams {
		path := fmt.Sprintf("$.teams[%d]", i)
		if seen[string(r.Team)] {
			violations = append(violations, document.Violation{Path: path + ".team", Message: fmt.Sprintf("duplicate row of team %q", r.Team)})
		}
		seen[string(r.Team)] = true
		violations = append(violations, r.violations(path)...)
	}
	return violations
}

// floorSumViolations checks that the floors for each type of capacity add up to
// at most 1: requests share connections, batch tasks and services share slots.
func (t *Table) floorSumViolations() []document.Violation {
	var requests, tasks Share
	for _, r := range t.Rows {
		if r.Class == ClassRequest {
			requests += r.Floor
		} else {
			tasks += r.Floor
		}
	}
	var violations []document.Violation
	if requests > 1+shareTolerance {
		violations = append(violations, document.Violation{Path: "$.kinds", Message: fmt.Sprintf("floors of requests add up to %.4g, more than the whole", requests)})
	}
	if tasks > 1+shareTolerance {
		violations = append(violations, document.Violation{Path: "$.kinds", Message: fmt.Sprintf("floors of batch and services add up to %.4g, more than the whole", tasks)})
	}
	return violations
}

func (r Row) violations(path string) []document.Violation {
	c := rowChecker{path: path}
	c.requireName("kind", string(r.Kind))
	c.require(r.Class == ClassRequest || r.Class == ClassBatch || r.Class == ClassService, "class", "must be request, batch or service")
	c.require(r.Weight > 0 && !math.IsInf(r.Weight, 0), "weight", "must be above 0")
	c.requireShare("floor", r.Floor)
	c.requireShare("ceiling", r.Ceiling)
	c.requireShare("target", r.Target)
	c.require(r.Ceiling > 0, "ceiling", "must be above 0")
	c.require(r.Floor <= r.Ceiling, "ceiling", fmt.Sprintf("ceiling %.4g is under floor %.4g", r.Ceiling, r.Floor))
	c.require(r.Deadline >= 0, "deadline", "must not be negative")
	c.require(r.Class != ClassRequest || r.Deadline > 0, "deadline", "a request kind needs a deadline above 0")
	c.require(r.Objective >= 0, "objective", "must not be negative")
	c.require(r.LinkRate >= 0, "linkRate", "must not be negative")
	c.require(r.CrossRegion || r.LinkRate == 0, "linkRate", "needs crossRegion: true")
	return c.violations
}

func (r TeamRow) violations(path string) []document.Violation {
	c := rowChecker{path: path}
	c.requireName("team", string(r.Team))
	c.require(r.Weight > 0 && !math.IsInf(r.Weight, 0), "weight", "must be above 0")
	c.requireShare("quota", r.Quota)
	c.require(r.Quota > 0, "quota", "must be above 0")
	return c.violations
}

// A rowChecker collects the violations of one row at a path.
type rowChecker struct {
	path       string
	violations []document.Violation
}

func (c *rowChecker) require(ok bool, field, message string) {
	if !ok {
		c.violations = append(c.violations, document.Violation{Path: c.path + "." + field, Message: message})
	}
}

func (c *rowChecker) requireShare(field string, s Share) {
	c.require(s >= 0 && s <= 1, field, "must be a share between 0 and 1")
}

// requireName requires a name of 1 to 63 characters of a-z, 0-9, '-' and '_', so that it is valid in a path.
func (c *rowChecker) requireName(field, s string) {
	ok := s != "" && len(s) <= 63
	for _, x := range s {
		ok = ok && (x >= 'a' && x <= 'z' || x >= '0' && x <= '9' || x == '-' || x == '_')
	}
	c.require(ok, field, "must be 1 to 63 characters of a-z, 0-9, '-' and '_'")
}
