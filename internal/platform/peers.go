package platform

// UDP datagrams between the sentries of a tier.

import (
	"errors"
	"net"

	"scalechute/internal/sentry"
	"scalechute/logic"
)

// peers sends messages to other sentries and receives theirs. Without a listen address it does neither.
type peers struct {
	platform  *Platform
	conn      *net.UDPConn
	broadcast *net.UDPAddr              // reaches all peers; nil if there is none
	addresses []*net.UDPAddr            // by position
	senders   map[string]logic.SentryID // by address
}

// newPeers resolves the peers' addresses and opens the socket, if the configuration has peers.
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

// receive passes messages of known peers to the sentry until the socket is closed.
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

// send sends a message to one peer or to all, and returns the number of datagrams sent.
func (ps *peers) send(message logic.Message) (sent int) {
	var address *net.UDPAddr
	switch {
	case ps.conn == nil:
	case message.To == logic.EverySentry:
		address = ps.broadcast
	case int(message.To) < len(ps.addresses):
		address = ps.addresses[message.To]
	}
	if address == nil {
		return 0
	}
	if _, err := ps.conn.WriteToUDP(message.Body, address); err != nil {
		return 0
	}
	return 1
}
