package platform

// Peers: datagrams between the processes of a tier.

import (
	"errors"
	"net"

	"scalechute/internal/sentry"
	"scalechute/logic"
)

// peers are told by datagrams.
type peers struct {
	p    *Platform
	conn *net.UDPConn
	all  *net.UDPAddr
	to   []*net.UDPAddr
	from map[string]logic.SentryID
}

func newPeers(p *Platform) (*peers, error) {
	x := &peers{p: p, from: map[string]logic.SentryID{}}
	post := p.post.Load()
	if post.PeerListenAddress == "" || !post.Settings.Policy.MayMessage {
		return x, nil
	}
	at, err := net.ResolveUDPAddr("udp", post.PeerListenAddress)
	if err != nil {
		return nil, err
	}
	for i, text := range post.PeerAddresses {
		to, err := net.ResolveUDPAddr("udp", text)
		if err != nil {
			return nil, err
		}
		x.to = append(x.to, to)
		x.from[to.String()] = logic.SentryID(i)
	}
	if post.PeerBroadcastAddress != "" {
		if x.all, err = net.ResolveUDPAddr("udp", post.PeerBroadcastAddress); err != nil {
			return nil, err
		}
	}
	x.conn, err = net.ListenUDP("udp", at)
	return x, err
}

// run hears the others.
func (x *peers) run() {
	if x.conn == nil {
		return
	}
	buffer := make([]byte, 2*sentry.MaxPeerMessageBytes)
	for {
		n, from, err := x.conn.ReadFromUDP(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) || x.p.over() {
				return
			}
			continue
		}
		if id, known := x.from[from.String()]; known && n <= sentry.MaxPeerMessageBytes {
			x.p.sentry.PeerMessageReceived(id, append([]byte(nil), buffer[:n]...))
		}
	}
}

func (x *peers) say(m logic.Message) (sent int) {
	var to *net.UDPAddr
	switch {
	case x.conn == nil:
	case m.To == logic.EverySentry:
		to = x.all
	case int(m.To) < len(x.to):
		to = x.to[m.To]
	}
	if to == nil {
		return 0
	}
	if _, err := x.conn.WriteToUDP(m.Body, to); err != nil {
		return 0
	}
	return 1
}
