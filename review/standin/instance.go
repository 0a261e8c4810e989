package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// promoteTime is the time between a call to promote an instance and its lead.
const promoteTime = 1000 * time.Millisecond

// entry is a commit in the log of an instance.
type entry struct {
	term, number int
	items        map[string]string
	id           string // of the request
}

// service is a stand-in of a database service as PROTOCOL.md describes it: each commit takes the
// next number, the replicas receive it, and it is acknowledged once one of them has it.
type service struct {
	record    *record
	store     *store
	name      string
	mutex     sync.Mutex
	changed   *sync.Cond
	instances []*instance
	tokens    int // the highest fencing token seen
	nextID    int
}

// instance is an instance of a service. It speaks the wire protocol of PROTOCOL.md.
type instance struct {
	service *service
	id      string
	role    string // primary or replica
	zone    string
	address string
	log     []entry
	term    int
	paused  int  // the term with which it was paused, or 0
	cut     bool // from the primary
	leaving bool
	dark    bool // does not answer
	ended   bool
	runs    int
	beats   int
}

func startService(record *record, store *store, name string) *service {
	service := &service{record: record, store: store, name: name}
	service.changed = sync.NewCond(&service.mutex)
	return service
}

// start starts an instance with the log of another one, or without any.
func (service *service) start(role, zone string, log []entry) *instance {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	service.mutex.Lock()
	service.nextID++
	started := &instance{service: service, id: "i-" + service.name + "-" + strconv.Itoa(service.nextID), role: role, zone: zone, address: listener.Addr().String(), term: 1, log: log}
	service.instances = append(service.instances, started)
	service.record.add("instance %s starts as %s", started.id, role)
	service.replicate()
	started.report()
	service.mutex.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go started.serve(conn)
		}
	}()
	go started.beat(listener)
	return started
}

// beat reports to the store every heartbeat. An entry is removed after three of silence.
func (instance *instance) beat(listener net.Listener) {
	silent := 0
	for {
		time.Sleep(heartbeat)
		instance.service.mutex.Lock()
		switch {
		case instance.ended:
			instance.service.mutex.Unlock()
			listener.Close()
			return
		case instance.dark:
			if silent++; silent == 3 {
				instance.service.store.drop("servers", instance.id)
			}
		default:
			instance.report()
		}
		instance.service.mutex.Unlock()
	}
}

// report writes the entry of the instance. The caller holds the mutex of the service.
func (instance *instance) report() {
	if instance.dark || instance.ended {
		return
	}
	instance.beats++
	state := "ready"
	if instance.leaving {
		state = "draining"
	}
	instance.service.store.put("servers", instance.id, map[string]any{
		"service": instance.service.name, "address": instance.address, "zone": instance.zone, "version": "v1", "slots": 5,
		"state": state, "cold_remaining_ms": 0, "sequence": instance.beats, "db_role": instance.role,
	})
}

// leave announces that the instance leaves, and ends it after drain_timeout_ms and a little longer.
func (instance *instance) leave() {
	service := instance.service
	service.mutex.Lock()
	defer service.mutex.Unlock()
	instance.leaving = true
	instance.report()
	service.record.add("instance %s (%s) is draining", instance.id, instance.role)
	time.AfterFunc(8*time.Second, func() {
		service.mutex.Lock()
		defer service.mutex.Unlock()
		instance.ended = true
		service.store.drop("servers", instance.id)
		service.record.add("instance %s ends, and its log with it", instance.id)
		service.changed.Broadcast()
	})
}

// goDark stops an instance from answering for a time. It then starts again under a new id, with its
// log, as a replica if another instance leads.
func (instance *instance) goDark(span time.Duration) {
	service := instance.service
	service.mutex.Lock()
	defer service.mutex.Unlock()
	instance.dark = true
	service.record.add("instance %s (%s) goes dark for %s", instance.id, instance.role, span)
	time.AfterFunc(span, func() {
		service.mutex.Lock()
		instance.ended, instance.dark = true, false
		role := instance.role
		log := instance.log
		term := instance.term
		service.changed.Broadcast()
		service.mutex.Unlock()
		if current := service.primary(); current != nil && current != instance {
			role = "replica"
		}
		returned := service.start(role, instance.zone, log)
		service.mutex.Lock()
		returned.term = max(term, returned.term)
		service.replicate()
		service.mutex.Unlock()
		// The entry of the process before expires after three heartbeats without one.
		time.AfterFunc(max(0, 3*heartbeat-span), func() { service.store.drop("servers", instance.id) })
	})
}

// primary returns the instance that leads, or nil.
func (service *service) primary() *instance {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.leader()
}

func (service *service) leader() *instance {
	for _, instance := range service.instances {
		if instance.role == "primary" && !instance.ended {
			return instance
		}
	}
	return nil
}

// replicate sends the log of the primary to the replicas that receive. The caller holds the mutex.
func (service *service) replicate() {
	primary := service.leader()
	if primary == nil || primary.dark {
		return
	}
	for _, instance := range service.instances {
		if instance != primary && !instance.ended && !instance.dark && !instance.cut && instance.paused == 0 {
			instance.log = primary.log[:len(primary.log):len(primary.log)]
			instance.term = primary.term
		}
	}
	service.changed.Broadcast()
}

// commit adds an entry to the log of the primary and waits until a replica has it. It reports
// false if the primary ended or lost the lead meanwhile.
func (service *service) commit(primary *instance, items map[string]string, id string) bool {
	added := entry{term: primary.term, number: len(primary.log) + 1, items: items, id: id}
	primary.log = append(primary.log, added)
	service.replicate()
	for {
		if primary.ended || primary.dark || primary.role != "primary" {
			return false
		}
		for _, instance := range service.instances {
			if instance != primary && !instance.ended && !instance.dark && len(instance.log) >= added.number && instance.log[added.number-1].term == added.term {
				return true
			}
		}
		service.changed.Wait()
	}
}

// promote lets an instance lead the next term with what it has received, and nothing more.
func (service *service) promote(id string) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	for _, chosen := range service.instances {
		if chosen.id != id || chosen.ended || chosen.dark {
			continue
		}
		former := service.leader()
		if former == chosen {
			return
		}
		term := 0
		for _, instance := range service.instances {
			term = max(term, instance.term)
		}
		if former != nil {
			former.role = "replica"
			former.report()
		}
		for _, instance := range service.instances {
			instance.paused = 0
		}
		chosen.role, chosen.term = "primary", term+1
		service.record.add("instance %s leads term %d with the log up to %s", chosen.id, chosen.term, chosen.position())
		chosen.report()
		service.replicate()
	}
}

// serveCloud serves the calls of the holder of the duty.
func (service *service) serveCloud(listener net.Listener) {
	go http.Serve(listener, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		var body struct {
			Service string `json:"service"`
			ID      string `json:"id"`
		}
		_ = json.NewDecoder(request.Body).Decode(&body)
		token, _ := strconv.Atoi(request.Header.Get("Fencing-Token"))
		service.mutex.Lock()
		defer service.mutex.Unlock()
		status := http.StatusConflict
		for _, instance := range service.instances {
			if instance.id == body.ID && !instance.ended && !instance.dark && token >= service.tokens {
				status = http.StatusOK
			}
		}
		if status == http.StatusOK {
			service.tokens = token
			time.AfterFunc(promoteTime, func() { service.promote(body.ID) })
		}
		service.record.add("%s orders with token %d to promote %s: %d", request.Header.Get("Duty-Holder"), token, body.ID, status)
		writer.WriteHeader(status)
	}))
}

// position is the end of the log. The caller holds the mutex of the service.
func (instance *instance) position() string {
	if len(instance.log) == 0 {
		return "1.0"
	}
	last := instance.log[len(instance.log)-1]
	return fmt.Sprintf("%d.%d", last.term, last.number)
}

func (instance *instance) covers(mark string) bool {
	termText, numberText, _ := strings.Cut(mark, ".")
	term, _ := strconv.Atoi(termText)
	number, _ := strconv.Atoi(numberText)
	if len(instance.log) == 0 {
		return number == 0
	}
	last := instance.log[len(instance.log)-1]
	return cmp.Or(cmp.Compare(last.term, term), cmp.Compare(last.number, number)) >= 0
}

// session is a connection to an instance.
type session struct {
	instance *instance
	conn     net.Conn
	state    string
	plain    bool
	writes   map[string]string
}

func (instance *instance) serve(conn net.Conn) {
	defer conn.Close()
	done := make(chan struct{})
	defer close(done)
	go instance.closeAtEnd(conn, done)
	reader := bufio.NewReader(conn)
	line, err := readLine(reader)
	if err != nil || !instance.awaitLight() {
		return
	}
	fields := strings.Fields(line)
	if len(fields) < 3 || fields[0] != "STARTUP" || fields[1] != instance.service.name || len(fields) > 3 && fields[3] != instance.id {
		fmt.Fprintf(conn, "ERROR MISROUTED %s\r\n", instance.id)
		return
	}
	session := &session{instance: instance, conn: conn, state: "I"}
	instance.service.mutex.Lock()
	position := instance.position()
	instance.service.mutex.Unlock()
	fmt.Fprintf(conn, "READY I %s\r\n", position)
	for {
		line, err := readLine(reader)
		if err != nil || !instance.awaitLight() {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		answer := session.answer(id, text)
		if answer == "" || !instance.awaitLight() {
			return
		}
		if _, err := conn.Write([]byte(answer)); err != nil {
			return
		}
	}
}

// closeAtEnd closes a connection when its instance ends.
func (instance *instance) closeAtEnd(conn net.Conn, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		instance.service.mutex.Lock()
		ended := instance.ended
		instance.service.mutex.Unlock()
		if ended {
			conn.Close()
			return
		}
	}
}

// awaitLight waits while the instance is dark, and reports whether it runs.
func (instance *instance) awaitLight() bool {
	service := instance.service
	service.mutex.Lock()
	defer service.mutex.Unlock()
	for instance.dark && !instance.ended {
		service.changed.Wait()
	}
	return !instance.ended
}

// answer returns the answer to a statement, or nothing if the connection ends without one.
func (session *session) answer(id, text string) string {
	instance, service := session.instance, session.instance.service
	service.mutex.Lock()
	defer service.mutex.Unlock()
	rows, code := session.run(id, text)
	if code == noAnswer {
		return ""
	}
	signature := "-"
	if id != "-" {
		instance.runs++
		signature = fmt.Sprintf("%d.%s", instance.runs, instance.id)
		service.record.add("instance %s runs %q of request %s: %s %s", instance.id, text, id, cmp.Or(code, "OK"), instance.position())
	}
	var out strings.Builder
	for _, value := range rows {
		fmt.Fprintf(&out, "DATAROW %s\r\n", value)
	}
	if code == "" {
		fmt.Fprintf(&out, "COMPLETE %s\r\n", signature)
	} else {
		fmt.Fprintf(&out, "ERROR %s %s\r\n", code, instance.id)
		if session.state == "T" {
			session.state = "E"
		}
	}
	fmt.Fprintf(&out, "READY %s %s\r\n", session.state, instance.position())
	return out.String()
}

// noAnswer is the result of a statement during which the connection ends.
const noAnswer = "-"

// run runs a statement and returns its rows, or an error code.
func (session *session) run(id, text string) ([]string, string) {
	instance, service := session.instance, session.instance.service
	if after, ok := strings.CutPrefix(text, "AFTER "); ok {
		var mark string
		if mark, text, _ = strings.Cut(after, " "); !instance.covers(mark) {
			return nil, "LAGGING"
		}
	}
	word, rest, _ := strings.Cut(text, " ")
	if session.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		return nil, "MALFORMED"
	}
	primary := instance.role == "primary"
	if session.state == "T" && session.plain && !primary && word != "ROLLBACK" && !(word == "COMMIT" && len(session.writes) == 0) {
		return nil, "READONLY"
	}
	switch word {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		session.control(word, rest)
		return []string{fmt.Sprintf("%s %d %s %d 0 0 1", instance.role, instance.term, instance.position(), instance.paused)}, ""
	case "BEGIN":
		if rest == "" && !primary {
			return nil, "READONLY"
		}
		session.state, session.plain, session.writes = "T", rest == "", make(map[string]string)
	case "ROLLBACK":
		session.state, session.writes = "I", nil
	case "COMMIT":
		writes, failed := session.writes, session.state == "E"
		session.state, session.writes = "I", nil
		if !failed && len(writes) > 0 && !service.commit(instance, writes, id) {
			return nil, noAnswer
		}
	case "READ":
		return []string{service.name + "-" + instance.value(rest)}, ""
	case "WRITE":
		item, value, _ := strings.Cut(rest, " ")
		switch {
		case !primary:
			return nil, "READONLY"
		case session.state == "T":
			session.writes[item] = value
		case !service.commit(instance, map[string]string{item: value}, id):
			return nil, noAnswer
		}
	case "RESET", "SET", "DEALLOCATE":
	default:
		return nil, "MALFORMED"
	}
	return nil, ""
}

// control carries out an order of the holder of the duty.
func (session *session) control(word, rest string) {
	instance := session.instance
	term, _ := strconv.Atoi(rest)
	switch {
	case word == "PAUSE" && instance.role == "replica" && term > instance.term:
		instance.paused = term
	case word == "RESUME":
		instance.paused = 0
		instance.service.replicate()
	case word == "STEPDOWN" && instance.role == "primary" && instance.term < term:
		instance.role = "replica"
		instance.report()
		instance.service.changed.Broadcast()
	default:
		return
	}
	instance.service.record.add("instance %s obeys %s %s at %s", instance.id, word, rest, instance.position())
}

func (instance *instance) value(item string) string {
	for index := len(instance.log) - 1; index >= 0; index-- {
		if value, ok := instance.log[index].items[item]; ok {
			return value
		}
	}
	return ""
}
