package node

import (
	"net"
	"sync"
)

// forwarder forwards UDP packets between two nodes. It can drop the packets of existing
// flows and of new ones.
type forwarder struct {
	socket *net.UDPConn
	mu     sync.Mutex
	server *net.UDPAddr
	// flows maps each sender to its socket towards the server; nil means that the flow is
	// frozen.
	flows map[string]*net.UDPConn
	// blocked makes the forwarder drop the packets of new flows.
	blocked bool
}

// newForwarder runs a forwarder until the test ends.
func newForwarder(fleet *testFleet) *forwarder {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	fleet.noError(err)
	f := &forwarder{socket: socket, flows: make(map[string]*net.UDPConn)}
	fleet.t.Cleanup(func() { _ = socket.Close(); f.freeze(true) })
	go f.run()
	return f
}

// setServer sets the address to which packets are forwarded.
func (f *forwarder) setServer(fleet *testFleet, server string) {
	address, err := net.ResolveUDPAddr("udp", server)
	fleet.noError(err)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.server = address
}

// run forwards packets to the server until the socket is closed.
func (f *forwarder) run() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := f.socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if flow := f.flow(from); flow != nil {
			_, _ = flow.Write(buffer[:n])
		}
	}
}

// flow returns the socket for a sender, creating it for a new one, or nil if its packets
// are dropped.
func (f *forwarder) flow(from *net.UDPAddr) *net.UDPConn {
	f.mu.Lock()
	defer f.mu.Unlock()
	flow, known := f.flows[from.String()]
	if known || f.blocked || f.server == nil {
		return flow
	}
	flow, err := net.DialUDP("udp", nil, f.server)
	if err != nil {
		return nil
	}
	f.flows[from.String()] = flow
	go func() {
		buffer := make([]byte, 2048)
		for {
			n, err := flow.Read(buffer)
			if err != nil {
				return
			}
			_, _ = f.socket.WriteToUDP(buffer[:n], from)
		}
	}()
	return flow
}

// freeze drops all further packets of the existing flows. If blocked is true, packets of
// new flows are dropped too, until unblock is called.
func (f *forwarder) freeze(blocked bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked = blocked
	for from, flow := range f.flows {
		if flow != nil {
			_ = flow.Close()
		}
		f.flows[from] = nil
	}
}

// unblock forwards the packets of new flows again.
func (f *forwarder) unblock() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked = false
}
