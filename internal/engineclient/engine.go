package engineclient

import "slices"

// engine is an engine and its connections. Engines are identified by their id
// alone, because a new engine may be given the address of a removed one.
type engine struct {
	id          string
	addr        string
	removed     bool
	draining    bool
	connections []*connection
	attempts    map[attemptKey]*exchange
}

// SetEndpoint sets an engine's address and state. WithdrawUnwritten must be called
// once package control has received the change too.
func (p *Pool) SetEndpoint(id, addr string, draining, removed bool) {
	e := p.engines[id]
	if e == nil {
		if removed {
			return
		}
		e = &engine{id: id, attempts: map[attemptKey]*exchange{}}
		p.engines[id] = e
	}
	e.draining = draining
	e.removed = removed
	if removed || e.addr != addr {
		p.closeUnused(e)
	}
	if !removed {
		e.addr = addr
		return
	}
	if len(e.connections) == 0 {
		delete(p.engines, id)
	}
}

// closeUnused closes an engine's connections that have no open exchanges.
func (p *Pool) closeUnused(e *engine) {
	for _, c := range slices.Clone(e.connections) {
		if len(c.exchanges) == 0 {
			p.closeConnection(c, nil)
		}
	}
}

// Retain removes all engines except those with the given ids.
func (p *Pool) Retain(ids map[string]bool) {
	for id := range p.engines {
		if !ids[id] {
			p.SetEndpoint(id, "", false, true)
		}
	}
}

// WithdrawUnwritten withdraws the requests that are not written yet to engines
// that are draining, have a new address or were removed. It matters most for
// requests that wait for a connection: by the time the connection is established,
// another engine may have the address.
func (p *Pool) WithdrawUnwritten() {
	for _, e := range p.engines {
		for _, c := range slices.Clone(e.connections) {
			if !e.draining && !c.outdated() {
				continue
			}
			for _, ex := range c.exchangesInOrder() {
				if !ex.isProbe {
					p.withdraw(ex)
				}
			}
		}
	}
}
