package member

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// compareDigest starts a sync with a member whose digest has differed for two probe
// intervals, about the time in which forwarding alone removes a difference.
func (t *Table) compareDigest(now clock.Millis, sender *member, m Message) []Action {
	if m.Digest == t.digest {
		sender.digestDiffersSince = 0
		return nil
	}
	if sender.digestDiffersSince == 0 {
		sender.digestDiffersSince = now
	}
	if now-sender.digestDiffersSince < 2*t.config.ProbeMillis || now < t.nextSync {
		return nil
	}
	t.nextSync = now + t.jitter(t.config.SyncMillis)
	a := t.send(Sync, sender, t.random.Uint64())
	a.Message.Buckets = t.bucketHashes(a.Message.Sequence)
	return []Action{a}
}

// bucketHashes returns the salted hash of the live records in each bucket.
func (t *Table) bucketHashes(salt uint64) []byte {
	var sums [bucketCount]uint64
	add := func(n ident.NodeID, contribution uint64) {
		if contribution != 0 {
			sums[bucketOf(n)] ^= saltedHash(contribution, salt)
		}
	}
	add(t.self.Node, contribution(t.self))
	for _, m := range t.ordered {
		add(m.record.Node, m.contribution)
	}
	out := make([]byte, 0, bucketCount*bucketBytes)
	for _, s := range sums {
		out = binary.BigEndian.AppendUint16(out, uint16(s))
	}
	return out
}

// bucketOf returns the bucket of a node.
func bucketOf(n ident.NodeID) int {
	return int(xxhash.Sum64String(string(n)) % bucketCount)
}

// saltedHash returns the hash of a contribution and a salt.
func saltedHash(contribution, salt uint64) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], contribution)
	binary.BigEndian.PutUint64(b[8:], salt)
	return xxhash.Sum64(b[:])
}

// answerSync returns the records of the buckets that differ, within the limit on
// replies per second.
func (t *Table) answerSync(now clock.Millis, from ident.NodeID, m Message) []Action {
	if now >= t.repliesResetAt {
		t.repliesResetAt, t.repliesLeft = now+clock.Second, t.config.SyncReplies
	}
	if t.repliesLeft <= 0 {
		return nil
	}
	t.repliesLeft--
	differing := t.differingBuckets(m)
	a := t.reply(SyncReply, from, m.Sequence)
	a.Message.Buckets, a.Message.Updates = t.collectBuckets(differing)
	return []Action{a}
}

// differingBuckets returns the buckets whose hashes differ from those of a Sync.
func (t *Table) differingBuckets(m Message) [bucketCount]bool {
	var out [bucketCount]bool
	own := t.bucketHashes(m.Sequence)
	for i := range out {
		at := i * bucketBytes
		out[i] = len(m.Buckets) == 0 || !bytes.Equal(own[at:at+bucketBytes], m.Buckets[at:at+bucketBytes])
	}
	return out
}

// collectBuckets returns the numbers and all records of the wanted buckets that fit
// within the byte limit, including dead records. It starts at a random bucket, so that
// later syncs cover the buckets that did not fit.
func (t *Table) collectBuckets(wanted [bucketCount]bool) ([]byte, []Update) {
	var content [bucketCount][]Update
	add := func(r Record) {
		if i := bucketOf(r.Node); wanted[i] {
			content[i] = append(content[i], Update{Record: r})
		}
	}
	add(t.self)
	for _, m := range t.ordered {
		add(m.record)
	}
	var numbers []byte
	var updates []Update
	remaining := t.config.SyncBytes
	first := t.random.IntN(bucketCount)
	for k := range bucketCount {
		i := (first + k) % bucketCount
		if !wanted[i] {
			continue
		}
		for _, u := range content[i] {
			remaining -= encodedSize(u)
		}
		if remaining < 0 {
			break
		}
		numbers = append(numbers, byte(i))
		updates = append(updates, content[i]...)
	}
	return numbers, updates
}

// answerSyncReply returns the records in the buckets of a SyncReply that the peer
// lacks or has in an older revision or state.
func (t *Table) answerSyncReply(from ident.NodeID, m Message) []Action {
	if m.Final {
		return nil
	}
	received := make(map[ident.NodeID]Record, len(m.Updates))
	for _, u := range m.Updates {
		received[u.Record.Node] = u.Record
	}
	var wanted [bucketCount]bool
	for _, i := range m.Buckets {
		wanted[i] = true
	}
	_, own := t.collectBuckets(wanted)
	var missing []Update
	for _, u := range own {
		r, ok := received[u.Record.Node]
		if !ok && u.Record.live() || ok && u.Record.Newer(r) {
			missing = append(missing, u)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	a := t.reply(SyncReply, from, m.Sequence)
	a.Message.Final, a.Message.Updates = true, missing
	return []Action{a}
}
