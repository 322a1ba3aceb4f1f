package node

import (
	"net"
	"sync"
)

// forwarder stands between two nodes. It can freeze the flows that exist, and
// hold back new ones.
type forwarder struct {
	socket *net.UDPConn
	mu     sync.Mutex
	server *net.UDPAddr
	// flows holds the socket towards the server for each sender; nil is frozen.
	flows   map[string]*net.UDPConn
	blocked bool
}

// newForwarder runs a forwarder until the test ends.
func newForwarder(r *rig) *forwarder {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	r.noError(err)
	f := &forwarder{socket: socket, flows: make(map[string]*net.UDPConn)}
	r.t.Cleanup(func() { _ = socket.Close(); f.freeze(true) })
	go f.run()
	return f
}

// to sets the server.
func (f *forwarder) to(r *rig, server string) {
	address, err := net.ResolveUDPAddr("udp", server)
	r.noError(err)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.server = address
}

// run passes packets towards the server.
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

// flow returns the socket for a sender, or nil if its packets are dropped.
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

// freeze drops all further packets of the flows that exist; blocked drops those
// of new flows too, until it is set to false.
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

// unblock lets new flows pass.
func (f *forwarder) unblock() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked = false
}
