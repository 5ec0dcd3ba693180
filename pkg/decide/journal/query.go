package journal

// LastPosition returns the last committed position.
func (m *Machine) LastPosition() Position {
	return m.lastPosition
}

// IsOwner reports whether the takeover is complete and no loss of ownership is known.
func (m *Machine) IsOwner() bool {
	return m.stage != stageClosed && !m.takeover
}
