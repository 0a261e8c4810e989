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

// route returns a route of the operator's configuration.
func route(name, database string, timeout int) map[string]any {
	return map[string]any{
		"name": name, "host": database, "type": "read_your_writes", "service": "katalog", "timeout_ms": timeout,
		"target_latency_ms": 400, "priority": 1, "max_staleness_ms": 2500,
	}
}

// configure writes a configuration and returns when the store has acknowledged it.
func configure(record *record, store *store, version int, routes ...map[string]any) time.Time {
	store.put("op", "config", map[string]any{
		"version": version, "routes": routes, "limits": map[string]any{"tx_idle_ms": 10000},
		"services": []map[string]any{{"name": "katalog", "max_connections": 34, "sync_replicas": 1}},
	})
	var databases []string
	for _, listed := range routes {
		databases = append(databases, listed["host"].(string))
	}
	record.add("configuration %d acknowledged by the store: databases %s", version, strings.Join(databases, " "))
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
	service := newService(record, store, "katalog")
	service.serveCloud(cloud)
	service.startGroup()
	configure(record, store, 3, route("r1", "stays", 2000), route("r2", "dropped", 2000))
	proxies, stop := startProxies(record, folder, relay.address, cloud.Addr().String(), words)
	defer stop()
	time.Sleep(6 * time.Second)

	sessions := make([]*client, len(proxies))
	for index, proxy := range proxies {
		var greeting string
		sessions[index], greeting = connect(proxy, "dropped")
		record.add("%s answers STARTUP dropped: %s", proxy.name, greeting)
		if !strings.HasPrefix(greeting, "READY") {
			panic(cannotRun{"the proxies do not serve"})
		}
		record.add("%s answers READ: %v", proxy.name, sessions[index].query(fmt.Sprintf("before%d", index), "READ 1a"))
	}

	configure(record, store, 5, route("r1", "stays", 1900), route("r2", "dropped", 1900))
	time.Sleep(changeLag)
	troubleAt := time.Now()
	if trouble {
		record.add("%d open connections to the store go silent for good; new ones work", relay.silence())
	}
	time.Sleep(changeLag)
	acknowledged := configure(record, store, 8, route("r1", "stays", 1900), route("r3", "added", 1900))

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
			broken += checkDropped(record, proxy, sessions[index], fmt.Sprintf("after%d.%d", index, round))
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

// checkDropped reads on a session whose route was dropped. A success breaks the rule.
func checkDropped(record *record, proxy *proxy, session *client, id string) int {
	lines := session.query(id, "READ 1a")
	record.add("%s answers READ on the dropped route: %v", proxy.name, lines)
	for _, line := range lines {
		if strings.HasPrefix(line, "COMPLETE") {
			return 1
		}
	}
	return 0
}
