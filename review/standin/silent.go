package main

import (
	"fmt"
	"net"
	"strings"
	"time"
)

// changeLag is the time between a change and the trouble, and between the trouble and the next
// change, as when an operator makes several changes in a row.
const changeLag = 500 * time.Millisecond

// The services before and after the change of a database's service.
const (
	oldService = "katalog"
	newService = "archiv"
)

// route returns a route of the operator's configuration.
func route(name, database, service string, timeout int) map[string]any {
	return map[string]any{
		"name": name, "host": database, "type": "read_your_writes", "service": service, "timeout_ms": timeout,
		"target_latency_ms": 400, "priority": 1, "max_staleness_ms": 2500,
	}
}

// configure writes a configuration and returns when the store has acknowledged it.
func configure(record *record, store *store, version int, routes ...map[string]any) time.Time {
	store.put("op", "config", map[string]any{
		"version": version, "routes": routes, "limits": map[string]any{"tx_idle_ms": 10000},
		"services": []map[string]any{
			{"name": oldService, "max_connections": 34, "sync_replicas": 1},
			{"name": newService, "max_connections": 34, "sync_replicas": 1},
		},
	})
	var databases []string
	for _, listed := range routes {
		databases = append(databases, fmt.Sprintf("%s (%s)", listed["host"], listed["service"]))
	}
	record.add("configuration %d acknowledged by the store: databases %s", version, strings.Join(databases, ", "))
	return time.Now()
}

// playSilent checks CONFIG after the open connections to the store have gone silent once.
func playSilent(record *record, folder string, words []string, trouble bool) int {
	store := newStore()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	store.serve(listener)
	relay := newRelay(listener.Addr().String())
	cloud, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	for _, name := range []string{oldService, newService} {
		service := startService(record, store, name)
		service.startGroup()
		if name == oldService {
			service.serveCloud(cloud)
		}
	}
	configure(record, store, 3, route("r1", "stays", oldService, 2000), route("r2", "dropped", oldService, 2000), route("r3", "moved", oldService, 2000))
	proxies, stop := startProxies(record, folder, relay.address, cloud.Addr().String(), words)
	defer stop()
	time.Sleep(6 * time.Second)

	dropped, moved := openSessions(record, proxies, "dropped"), openSessions(record, proxies, "moved")

	configure(record, store, 5, route("r1", "stays", oldService, 1900), route("r2", "dropped", oldService, 1900), route("r3", "moved", oldService, 1900))
	time.Sleep(changeLag)
	troubleAt := time.Now()
	if trouble {
		record.add("%d open connections to the store go silent for good; new ones work", relay.silence())
	}
	time.Sleep(changeLag)
	acknowledged := configure(record, store, 8, route("r1", "stays", oldService, 1900), route("r4", "added", oldService, 1900), route("r5", "moved", newService, 1900))

	inTouch := troubleAt.Add(contact)
	bound := acknowledged.Add(configApply)
	if bound.Before(inTouch) {
		bound = inTouch
	}
	record.add("requests sent from %.3f s on must be handled as version 8 says", bound.Sub(record.started).Seconds())
	time.Sleep(time.Until(bound.Add(200 * time.Millisecond)))
	broken := 0
	for round := 0; round < 12; round++ {
		for index, proxy := range proxies {
			broken += checkAdded(record, proxy)
			broken += checkRead(record, proxy, "dropped", dropped[index], fmt.Sprintf("dropped%d.%d", index, round))
			broken += checkRead(record, proxy, "moved", moved[index], fmt.Sprintf("moved%d.%d", index, round))
		}
		time.Sleep(250 * time.Millisecond)
	}
	record.add("%d requests were handled as only an older version allows", broken)
	if broken > 0 {
		return 1
	}
	return 0
}

// checkAdded connects to the database of the added route. A refusal with NODB breaks the rule.
func checkAdded(record *record, proxy *proxy) int {
	session, greeting := connect(proxy, "added")
	if session != nil {
		session.conn.Close()
	}
	record.add("%s answers STARTUP added: %s", proxy.name, greeting)
	if strings.HasPrefix(greeting, "ERROR NODB") {
		return 1
	}
	return 0
}

// checkRead reads on a session whose route was dropped or has another service now. A row of the old
// service breaks the rule.
func checkRead(record *record, proxy *proxy, database string, session *client, id string) int {
	lines := session.query(id, "READ 1a")
	record.add("%s answers request %s on database %s: %s", proxy.name, id, database, strings.Join(lines, ", "))
	for _, line := range lines {
		if strings.HasPrefix(line, "DATAROW "+oldService) {
			return 1
		}
	}
	return 0
}

// openSessions starts a session with a database on each proxy.
func openSessions(record *record, proxies []*proxy, database string) []*client {
	sessions := make([]*client, len(proxies))
	for index, proxy := range proxies {
		var greeting string
		sessions[index], greeting = connect(proxy, database)
		if !strings.HasPrefix(greeting, "READY") {
			panic(cannotRun{proxy.name + " does not serve: " + greeting})
		}
		lines := sessions[index].query(fmt.Sprintf("%s%d", database, index), "READ 1a")
		record.add("%s answers READ on database %s: %s", proxy.name, database, strings.Join(lines, ", "))
	}
	return sessions
}
