package main

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
)

const (
	// helloHeaderBytes is the size of what precedes the name of the dialing node in the first
	// frame of a connection between nodes: the length of the frame, its kind and a call id.
	helloHeaderBytes = 9
	// helloLengthBytes is the size of the length.
	helloLengthBytes = 4
	// maxHelloBytes bounds the first frame.
	maxHelloBytes = 512
)

type (
	// partition decides which nodes reach each other.
	partition struct {
		mu sync.Mutex
		// away is the node that is cut off from all others; empty without a cut.
		away string
		// links holds the open connections between nodes.
		links map[*peerLink]struct{}
	}

	// peerLink is a connection between two nodes through a proxy.
	peerLink struct {
		from, to         string
		inbound, forward net.Conn
	}

	// peerProxy passes the connections to one node on, except during a cut. It holds what is
	// sent during a cut back, as a partition does, and drops it.
	peerProxy struct {
		partition    *partition
		node, target string
		address      string
	}
)

// newPartition returns a partition without a cut.
func newPartition() *partition {
	return &partition{links: make(map[*peerLink]struct{})}
}

// cut cuts a node off from all others. Open connections turn silent.
func (p *partition) cut(node string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.away = node
}

// heal ends the cut. The connections that were silent are reset.
func (p *partition) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		if l.from == p.away || l.to == p.away {
			_ = l.inbound.Close()
			_ = l.forward.Close()
		}
	}
	p.away = ""
}

// isCut reports whether two nodes don't reach each other.
func (p *partition) isCut(from, to string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.away != "" && (from == p.away || to == p.away)
}

// startProxy starts the proxy of a node at an address.
func startProxy(p *partition, node, ip, target string) (*peerProxy, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	proxy := &peerProxy{partition: p, node: node, target: target, address: l.Addr().String()}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go proxy.serve(conn)
		}
	}()
	return proxy, nil
}

// serve passes one connection on.
func (p *peerProxy) serve(inbound net.Conn) {
	defer inbound.Close()
	head := make([]byte, helloHeaderBytes, maxHelloBytes)
	if _, err := io.ReadFull(inbound, head); err != nil {
		return
	}
	size := int(binary.BigEndian.Uint32(head)) + helloLengthBytes
	if size < helloHeaderBytes || size > maxHelloBytes {
		return
	}
	hello := head[:size]
	if _, err := io.ReadFull(inbound, hello[helloHeaderBytes:]); err != nil {
		return
	}
	from := string(hello[helloHeaderBytes:])
	if p.partition.isCut(from, p.node) {
		_, _ = io.Copy(io.Discard, inbound) // a node behind a partition does not answer
		return
	}
	forward, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer forward.Close()
	link := &peerLink{from: from, to: p.node, inbound: inbound, forward: forward}
	p.partition.mu.Lock()
	p.partition.links[link] = struct{}{}
	p.partition.mu.Unlock()
	defer func() {
		p.partition.mu.Lock()
		delete(p.partition.links, link)
		p.partition.mu.Unlock()
	}()
	if _, err := forward.Write(hello); err != nil {
		return
	}
	ended := make(chan struct{}, 2)
	for _, c := range [][2]net.Conn{{inbound, forward}, {forward, inbound}} {
		go func() {
			p.copy(link, c[0], c[1])
			ended <- struct{}{}
		}()
	}
	<-ended
}

// copy passes bytes on until the connection ends; during a cut it drops them.
func (p *peerProxy) copy(link *peerLink, from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		cut := p.partition.isCut(link.from, link.to)
		if n > 0 && !cut {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil && !cut {
			return
		}
		if err != nil {
			// The other end hears nothing of the close until the cut ends.
			for p.partition.isCut(link.from, link.to) {
				if _, err := to.Read(buffer); err != nil {
					return
				}
			}
			return
		}
	}
}
