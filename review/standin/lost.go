package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	writersPerProxy = 3
	writeInterval   = 40 * time.Millisecond
)

// startGroup starts a primary and two replicas.
func (service *service) startGroup() {
	service.start("primary", "zone-a", nil)
	service.start("replica", "zone-b", nil)
	service.start("replica", "zone-a", nil)
}

// acknowledged are the ids of the writes that clients were told to be committed.
type acknowledged struct {
	mutex sync.Mutex
	ids   []string
}

// writeOn writes through a proxy until stop is closed. Each write has an item of its own.
func writeOn(record *record, proxy *proxy, name string, done *acknowledged, stop chan struct{}) {
	var session *client
	for count := 0; ; count++ {
		select {
		case <-stop:
			return
		case <-time.After(writeInterval):
		}
		if session == nil {
			started, greeting := connect(proxy, "catalogue")
			if !strings.HasPrefix(greeting, "READY") {
				if started != nil {
					started.conn.Close()
				}
				continue
			}
			session = started
		}
		id := fmt.Sprintf("%s.%d", name, count)
		lines := session.query(id, "WRITE "+id+" x")
		record.add("%s answers WRITE of request %s: %s", proxy.name, id, strings.Join(lines, ", "))
		if strings.HasPrefix(lines[0], "COMPLETE") {
			done.mutex.Lock()
			done.ids = append(done.ids, id)
			done.mutex.Unlock()
		} else if !strings.HasPrefix(lines[len(lines)-1], "READY I") {
			session.conn.Close()
			session = nil
		}
	}
}

// playLost checks LOST: clients write while the given trouble takes its course, and at the end the
// log of the primary must hold every write that was acknowledged to them.
func playLost(record *record, folder string, words []string, trouble bool, course func(record *record, service *service)) int {
	store := newStore()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	store.serve(listener)
	cloud, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	service := startService(record, store, "katalog")
	service.serveCloud(cloud)
	service.startGroup()
	configure(record, store, 3, map[string]any{
		"name": "r1", "host": "catalogue", "type": "primary", "service": "katalog", "timeout_ms": 800,
		"target_latency_ms": 200, "priority": 1, "max_staleness_ms": 0,
	})
	proxies, stopProxies := startProxies(record, folder, listener.Addr().String(), cloud.Addr().String(), words)
	defer stopProxies()
	time.Sleep(5 * time.Second)

	var done acknowledged
	var writers sync.WaitGroup
	stop := make(chan struct{})
	for index, proxy := range proxies {
		for writer := 0; writer < writersPerProxy; writer++ {
			writers.Add(1)
			go func() {
				defer writers.Done()
				writeOn(record, proxy, fmt.Sprintf("w%d%d", index, writer), &done, stop)
			}()
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		course(record, service)
	} else {
		time.Sleep(20 * time.Second)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	writers.Wait()
	return checkLog(record, service, &done)
}

// checkLog returns 1 if the log of the primary lacks a write that was acknowledged to a client.
func checkLog(record *record, service *service, done *acknowledged) int {
	primary := service.primary()
	if primary == nil {
		panic(cannotRun{"no instance leads at the end"})
	}
	service.mutex.Lock()
	defer service.mutex.Unlock()
	kept := make(map[string]bool)
	for _, committed := range primary.log {
		kept[committed.id] = true
	}
	lost := 0
	for _, id := range done.ids {
		if !kept[id] {
			record.add("request %s was acknowledged to its client, and the log of the primary %s lacks it", id, primary.id)
			lost++
		}
	}
	record.add("%d of %d acknowledged writes are lost", lost, len(done.ids))
	switch {
	case len(done.ids) < 50:
		panic(cannotRun{"too few writes were served"})
	case lost > 0:
		return 1
	default:
		return 0
	}
}

// cutTime is how long the primary is cut off from its replicas.
const cutTime = 5 * time.Second

// leavingReplica releases the primary. While the former one still counts as a leaving replica, the new
// one is cut off from the replicas that stay.
func leavingReplica(record *record, service *service) {
	released := service.primary()
	service.start("replica", "zone-b", nil)
	time.Sleep(time.Second)
	released.leave()
	time.Sleep(6500 * time.Millisecond)
	service.mutex.Lock()
	for _, instance := range service.instances {
		instance.cut = instance.role == "replica" && !instance.leaving && !instance.ended
		if instance.cut {
			record.add("replica %s is cut off from the primary for %s", instance.id, cutTime)
		}
	}
	service.mutex.Unlock()
	time.Sleep(cutTime)
	service.mutex.Lock()
	for _, instance := range service.instances {
		instance.cut = false
	}
	service.replicate()
	service.mutex.Unlock()
	record.add("the cut has healed")
	time.Sleep(4 * time.Second)
}

// joiningReplica lets the primary go dark for 1.4 s, three times. Shortly before it is back, a release
// starts a new replica.
func joiningReplica(record *record, service *service) {
	for round := 0; round < 3; round++ {
		primary := service.primary()
		if primary == nil {
			panic(cannotRun{"no instance leads"})
		}
		primary.goDark(1400 * time.Millisecond)
		time.Sleep(1200 * time.Millisecond)
		service.start("replica", "zone-b", nil)
		time.Sleep(10 * time.Second)
	}
}
