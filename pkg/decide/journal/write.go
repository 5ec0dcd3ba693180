package journal

// requestIO requests the action of the current stage.
func (m *Machine) requestIO(out []Action) []Action {
	switch m.stage {
	case stageWriting:
		return append(out, Write{Position: m.lastPosition + 1, Segment: m.segment, ManifestIndex: m.manifestIndex})
	case stageReadingSegment:
		return append(out, ReadSegment{Position: m.lastPosition + 1})
	case stageReadingManifest:
		return append(out, ReadManifest{})
	case stageAwaitingPermit:
		return append(out, AcquirePermit{})
	}
	return out
}

// backOff requests a delay before the action of the current stage.
func (m *Machine) backOff(out []Action) []Action {
	if m.stage == stageClosed || m.stage == stageIdle || m.backingOff {
		return out
	}
	m.backingOff = true
	m.failures++
	return append(out, Backoff{Failures: m.failures})
}

// handleWriteResult commits, retries or, if the result is unclear, reads the segment back.
func (m *Machine) handleWriteResult(e WriteCompleted, out []Action) []Action {
	if m.stage != stageWriting {
		return out
	}
	switch e.Result {
	case WriteDone:
		return m.commitInFlight(out)
	case WriteFailed:
		m.requeueInFlight()
		return m.backOff(out)
	case WriteUnknown:
		m.outcomeUnknown = true
	}
	m.stage = stageReadingSegment
	return m.requestIO(out)
}

// requeueInFlight returns a segment that was provably not written to the queue,
// where its callers can still cancel it.
func (m *Machine) requeueInFlight() {
	if m.takeover || m.outcomeUnknown {
		return
	}
	for _, f := range m.inFlight {
		m.pendingBytes += f.encodedSize
	}
	m.queue = append(m.inFlight, m.queue...)
	m.inFlight = nil
	m.stage = stageAwaitingPermit
}

// handleSegment handles the segment read at the position of the segment in flight.
func (m *Machine) handleSegment(e SegmentRead, out []Action) []Action {
	switch {
	case m.stage != stageReadingSegment:
		return out
	case e.Segment == nil:
		m.stage = stageReadingManifest
		return m.requestIO(out)
	case e.Segment.SameWrite(m.segment):
		return m.commitInFlight(out)
	}
	return m.endOwnership(OwnershipLost, out)
}

// handleManifest decides by the manifest whether an empty position is unwritten or trimmed.
func (m *Machine) handleManifest(e ManifestRead, out []Action) []Action {
	if m.stage != stageReadingManifest {
		return out
	}
	if e.Trimmed <= m.lastPosition {
		m.manifestIndex = e.ManifestIndex
		m.stage = stageWriting
		return m.backOff(out)
	}
	if m.outcomeUnknown {
		return m.endOwnership(OutcomeUnknown, out)
	}
	return m.endOwnership(OwnershipLost, out)
}

// commitInFlight records the segment in flight as committed.
func (m *Machine) commitInFlight(out []Action) []Action {
	m.lastPosition++
	m.failures = 0
	m.stage = stageIdle
	if m.takeover {
		m.takeover = false
		out = append(out, Ready{Epoch: m.epoch})
	}
	for _, f := range m.inFlight {
		out = append(out, Committed{Ticket: f.ticket, Mark: Mark{Position: m.lastPosition, Records: f.endRecord}})
	}
	m.inFlight = nil
	return m.requestPermit(out)
}

// endOwnership closes the machine. It refuses the appends in flight with reason r,
// and those in the queue, which were never written, with OwnershipLost.
func (m *Machine) endOwnership(r Reason, out []Action) []Action {
	for _, f := range m.inFlight {
		out = append(out, Refused{Ticket: f.ticket, Reason: r})
	}
	for _, q := range m.queue {
		out = append(out, Refused{Ticket: q.ticket, Reason: OwnershipLost})
	}
	m.inFlight, m.queue, m.pendingBytes = nil, nil, 0
	m.stage = stageClosed
	m.failures = 0
	if m.takeover {
		m.takeover = false
		return append(out, Reopen{})
	}
	return append(out, Fenced{})
}
