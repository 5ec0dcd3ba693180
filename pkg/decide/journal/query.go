package journal

// LastPosition returns the last position that is committed.
func (m *Machine) LastPosition() Position {
	return m.last
}

// IsOwner reports whether this owner holds the journal as far as it knows.
func (m *Machine) IsOwner() bool {
	return m.stage != closed && !m.takeover
}
