package member

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// compareDigest starts a sync with a member whose digest has differed for two
// probes; a difference that forwarding settles by itself lasts about as long.
func (t *Table) compareDigest(now clock.Millis, sender *member, m Message) []Action {
	if m.Digest == t.digest {
		sender.differsSince = 0
		return nil
	}
	if sender.differsSince == 0 {
		sender.differsSince = now
	}
	if now-sender.differsSince < 2*t.config.ProbeMillis || now < t.nextSync {
		return nil
	}
	t.nextSync = now + t.jitter(t.config.SyncMillis)
	a := t.send(Sync, sender, t.random.Uint64())
	a.Message.Buckets = t.bucketHashes(a.Message.Sequence)
	return []Action{a}
}

// bucketHashes returns the hash of each bucket of live records, with the salt.
func (t *Table) bucketHashes(salt uint64) []byte {
	var sums [bucketCount]uint64
	add := func(n ident.NodeID, contribution uint64) {
		if contribution != 0 {
			sums[bucketOf(n)] ^= salted(contribution, salt)
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

// salted hashes a contribution with a salt.
func salted(contribution, salt uint64) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], contribution)
	binary.BigEndian.PutUint64(b[8:], salt)
	return xxhash.Sum64(b[:])
}

// answerSync sends the records of the buckets that differ.
func (t *Table) answerSync(now clock.Millis, from ident.NodeID, m Message) []Action {
	if now >= t.repliesAt {
		t.repliesAt, t.repliesLeft = now+clock.Second, t.config.SyncReplies
	}
	if t.repliesLeft <= 0 {
		return nil
	}
	t.repliesLeft--
	differing := t.differing(m)
	a := t.reply(SyncReply, from, m.Sequence)
	a.Message.Buckets, a.Message.Updates = t.wholeBuckets(differing)
	return []Action{a}
}

// differing returns the buckets whose hashes differ from those of a Sync.
func (t *Table) differing(m Message) [bucketCount]bool {
	var out [bucketCount]bool
	own := t.bucketHashes(m.Sequence)
	for i := range out {
		at := i * bucketBytes
		out[i] = len(m.Buckets) == 0 || !bytes.Equal(own[at:at+bucketBytes], m.Buckets[at:at+bucketBytes])
	}
	return out
}

// wholeBuckets returns the records of the wanted buckets within the byte limit,
// with the dead ones, and the numbers of the buckets. It begins at a random
// bucket, so that later syncs get to those that did not fit.
func (t *Table) wholeBuckets(wanted [bucketCount]bool) ([]byte, []Update) {
	var content [bucketCount][]Update
	put := func(r Record) {
		if i := bucketOf(r.Node); wanted[i] {
			content[i] = append(content[i], Update{Record: r})
		}
	}
	put(t.self)
	for _, m := range t.ordered {
		put(m.record)
	}
	var numbers []byte
	var updates []Update
	room := t.config.SyncBytes
	first := t.random.IntN(bucketCount)
	for k := range bucketCount {
		i := (first + k) % bucketCount
		if !wanted[i] {
			continue
		}
		for _, u := range content[i] {
			room -= size(u)
		}
		if room < 0 {
			break
		}
		numbers = append(numbers, byte(i))
		updates = append(updates, content[i]...)
	}
	return numbers, updates
}

// completeSync returns the own records in the buckets of a SyncReply that the
// peer lacks or holds in an older form.
func (t *Table) completeSync(from ident.NodeID, m Message) []Action {
	if m.Final {
		return nil
	}
	theirs := make(map[ident.NodeID]Record, len(m.Updates))
	for _, u := range m.Updates {
		theirs[u.Record.Node] = u.Record
	}
	var wanted [bucketCount]bool
	for _, i := range m.Buckets {
		wanted[i] = true
	}
	_, own := t.wholeBuckets(wanted)
	var missing []Update
	for _, u := range own {
		r, ok := theirs[u.Record.Node]
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
