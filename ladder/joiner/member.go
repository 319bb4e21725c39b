package joiner

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
)

// A few members do the work of all processes, which keeps their connections to the
// targets in use and lets each of them see more of the load that it places. The other
// processes are on standby. The remaining members take over the work of one that
// left, so replacing it is not urgent. Each change of the group moves partitions and
// interrupts work, and a new member is visible only after the others have joined
// again. If all processes on standby joined at once, most of them would leave again.
// They therefore join one after the other, in the order of their names.

// joinOrLeave joins if the group lacks a member, and leaves if it has too many.
func (j *Joiner) joinOrLeave(ctx context.Context) {
	err := j.readOwners(ctx)
	members, member := j.members()
	if member || err != nil || j.wantedMembers == nil || !j.lacksMember(members) {
		j.missingSince = time.Time{}
	} else if j.missingSince.IsZero() {
		j.missingSince = j.clock.Now()
	}
	switch {
	case j.wantedMembers == nil:
		j.join(ctx)
	case member && err == nil && j.isSurplus(members):
		klog.InfoS("group left, others do its work", "members", len(members), "wanted", j.wantedMembers())
		j.leave(ctx)
	case member:
		j.join(ctx)
	case err == nil && len(members) == 0 && j.lacksMember(members):
		// The group has no members, which all processes notice at the same time. The
		// first one to join takes over all partitions.
		select {
		case <-j.clock.After(time.Duration(j.random.IntN(int(j.renewal.Interval)))):
		case <-ctx.Done():
			return
		}
		if err := j.readOwners(ctx); err != nil {
			return
		}
		if members, _ := j.members(); len(members) == 0 {
			j.join(ctx)
		}
	case err == nil && j.lacksMember(members) && j.clock.Since(j.missingSince) >= time.Duration(j.joinOrder(members))*j.joinVisibleAfter():
		j.join(ctx)
	}
}

// joinVisibleAfter is how long a new member takes to become visible: the others join
// again, and the list of owners is read after that.
func (j *Joiner) joinVisibleAfter() time.Duration { return 2 * j.renewal.Interval }

// joinOrder returns how many other processes fill a vacancy before this one does.
func (j *Joiner) joinOrder(members []Member) (count int) {
	if j.peers == nil {
		return 0
	}
	for _, address := range j.peers() {
		if p := Member(address); p < j.self && !slices.Contains(members, p) {
			count++
		}
	}
	return count
}

// members returns the owners of partitions in order, and whether this process, or its
// predecessor on the same host, is a member.
func (j *Joiner) members() (list []Member, member bool) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	list = j.distinctOwners()
	return list, !j.joinSentAt.IsZero() || slices.Contains(list, j.self)
}

// distinctOwners returns the owners of partitions in order. The caller holds the mutex.
func (j *Joiner) distinctOwners() (list []Member) {
	for _, o := range j.owners {
		if !slices.Contains(list, o) {
			list = append(list, o)
		}
	}
	slices.Sort(list)
	return list
}

func (j *Joiner) lacksMember(members []Member) bool {
	if j.joinPolicy == JoinAsLastResort {
		return len(members) == 0
	}
	return len(members) < j.wantedMembers()
}

// isSurplus reports whether this process should leave. All members agree on the order
// in which they stay.
func (j *Joiner) isSurplus(members []Member) bool {
	if j.joinPolicy == JoinAsLastResort {
		return len(members) > 1
	}
	return slices.Index(members, j.self) >= j.wantedMembers()
}

// OwnerOf returns the last known owner of a partition. An old list is read again in
// the background.
func (j *Joiner) OwnerOf(n identifier.PartitionNumber) (Member, bool) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if now := j.clock.Now(); now.Sub(j.ownersAt) > maxOwnersAge && !j.readingOwners && !now.Before(j.nextOwnersRead) {
		j.readingOwners, j.nextOwnersRead = true, now.Add(ownersRetryDelay)
		go func() {
			_ = recoverer.CatchPanic("list of owners", func() { _ = j.readOwners(context.Background()) }) // already logged
			j.mutex.Lock()
			defer j.mutex.Unlock()
			j.readingOwners = false
		}()
	}
	o, ok := j.owners[n]
	return o, ok
}

func (j *Joiner) readOwners(ctx context.Context) error {
	timeoutCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	owners, err := j.group.Owners(timeoutCtx)
	if err != nil {
		klog.V(1).InfoS("owners of batch jobs not read", "err", err)
		return err
	}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	for n, o := range j.owners {
		if now, ok := owners[n]; o != j.self && (!ok || now != o) {
			j.formerOwners[n] = o
		}
	}
	j.owners, j.ownersAt = owners, j.clock.Now()
	return nil
}

// FormerOwnerOf returns the last other process that owned a partition, if known.
func (j *Joiner) FormerOwnerOf(n identifier.PartitionNumber) (Member, bool) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	o, ok := j.formerOwners[n]
	return o, ok
}

// PeerAddresses returns the addresses of the other members that own partitions.
func (j *Joiner) PeerAddresses() (list []string) {
	members, _ := j.Members()
	return slices.DeleteFunc(members, func(m string) bool { return m == string(j.self) })
}

// Members returns the addresses of all members that own partitions, and when the list was
// read from the store.
func (j *Joiner) Members() (list []string, readAt time.Time) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	for _, m := range j.distinctOwners() {
		list = append(list, string(m))
	}
	return list, j.ownersAt
}
