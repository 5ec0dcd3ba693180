package journal

// resume asks for the I/O of the stage.
func (m *Machine) resume(out []Action) []Action {
	switch m.stage {
	case writing:
		return append(out, Write{Position: m.last + 1, Segment: m.segment, ManifestIndex: m.index})
	case reading:
		return append(out, ReadSegment{Position: m.last + 1})
	case covering:
		return append(out, ReadManifest{})
	case pacing:
		return append(out, AcquirePermit{})
	}
	return out
}

// wait asks for a pause before the stage's I/O.
func (m *Machine) wait(out []Action) []Action {
	if m.stage == closed || m.stage == idle || m.waiting {
		return out
	}
	m.waiting = true
	m.failures++
	return append(out, Backoff{Failures: m.failures})
}

// wrote takes the outcome of a write.
func (m *Machine) wrote(e WriteCompleted, out []Action) []Action {
	if m.stage != writing {
		return out
	}
	switch e.Result {
	case WriteDone:
		return m.commit(out)
	case WriteFailed:
		m.putBack()
		return m.wait(out)
	case WriteUnknown:
		m.doubted = true
	}
	m.stage = reading
	return m.resume(out)
}

// putBack returns a segment that is proved absent to the queue, where its callers may still cancel.
func (m *Machine) putBack() {
	if m.takeover || m.doubted {
		return
	}
	for _, f := range m.flight {
		m.pending += f.size
	}
	m.queue = append(m.flight, m.queue...)
	m.flight = nil
	m.stage = pacing
}

// found takes the segment that stands where ours should be.
func (m *Machine) found(e SegmentRead, out []Action) []Action {
	switch {
	case m.stage != reading:
		return out
	case e.Segment == nil:
		m.stage = covering
		return m.resume(out)
	case e.Segment.SameWrite(m.segment):
		return m.commit(out)
	}
	return m.lose(OwnershipLost, out)
}

// covered takes the cover, which decides whether an empty position is new or trimmed.
func (m *Machine) covered(e ManifestRead, out []Action) []Action {
	if m.stage != covering {
		return out
	}
	if e.Trimmed <= m.last {
		m.index = e.ManifestIndex
		m.stage = writing
		return m.wait(out)
	}
	if m.doubted {
		return m.lose(OutcomeUnknown, out)
	}
	return m.lose(OwnershipLost, out)
}

// commit takes the segment in flight as written.
func (m *Machine) commit(out []Action) []Action {
	m.last++
	m.failures = 0
	m.stage = idle
	if m.takeover {
		m.takeover = false
		out = append(out, Ready{Epoch: m.epoch})
	}
	for _, f := range m.flight {
		out = append(out, Committed{Ticket: f.ticket, Mark: Mark{Position: m.last, Records: f.end}})
	}
	m.flight = nil
	return m.next(out)
}

// lose ends the ownership: the flight for reason r, the queue as never written.
func (m *Machine) lose(r Reason, out []Action) []Action {
	for _, f := range m.flight {
		out = append(out, Refused{Ticket: f.ticket, Reason: r})
	}
	for _, q := range m.queue {
		out = append(out, Refused{Ticket: q.ticket, Reason: OwnershipLost})
	}
	m.flight, m.queue, m.pending = nil, nil, 0
	m.stage = closed
	m.failures = 0
	if m.takeover {
		m.takeover = false
		return append(out, Reopen{})
	}
	return append(out, Fenced{})
}
