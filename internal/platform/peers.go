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
	platform  *Platform
	conn      *net.UDPConn
	broadcast *net.UDPAddr
	addresses []*net.UDPAddr
	senders   map[string]logic.SentryID
}

func newPeers(p *Platform) (*peers, error) {
	ps := &peers{platform: p, senders: map[string]logic.SentryID{}}
	config := p.config.Load()
	if config.PeerListenAddress == "" || !config.Settings.Policy.MayMessage {
		return ps, nil
	}
	listenAddress, err := net.ResolveUDPAddr("udp", config.PeerListenAddress)
	if err != nil {
		return nil, err
	}
	for i, text := range config.PeerAddresses {
		address, err := net.ResolveUDPAddr("udp", text)
		if err != nil {
			return nil, err
		}
		ps.addresses = append(ps.addresses, address)
		ps.senders[address.String()] = logic.SentryID(i)
	}
	if config.PeerBroadcastAddress != "" {
		if ps.broadcast, err = net.ResolveUDPAddr("udp", config.PeerBroadcastAddress); err != nil {
			return nil, err
		}
	}
	ps.conn, err = net.ListenUDP("udp", listenAddress)
	return ps, err
}

// run hears the others.
func (ps *peers) receive() {
	if ps.conn == nil {
		return
	}
	buffer := make([]byte, 2*sentry.MaxPeerMessageBytes)
	for {
		n, from, err := ps.conn.ReadFromUDP(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) || ps.platform.isDone() {
				return
			}
			continue
		}
		if id, known := ps.senders[from.String()]; known && n <= sentry.MaxPeerMessageBytes {
			ps.platform.sentry.PeerMessageReceived(id, append([]byte(nil), buffer[:n]...))
		}
	}
}

func (ps *peers) send(m logic.Message) (sent int) {
	var address *net.UDPAddr
	switch {
	case ps.conn == nil:
	case m.To == logic.EverySentry:
		address = ps.broadcast
	case int(m.To) < len(ps.addresses):
		address = ps.addresses[m.To]
	}
	if address == nil {
		return 0
	}
	if _, err := ps.conn.WriteToUDP(m.Body, address); err != nil {
		return 0
	}
	return 1
}
