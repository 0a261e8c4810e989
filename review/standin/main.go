// Command standin plays a case of the review on the real clock: it starts the proxies as separate
// processes and stands in for the platform's store, the instances and the clients.
//
//	standin leaving|joining|silent PROGRAM ARGUMENT... (in the folder of the case)
//
// It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run.
package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds and the heartbeat of the small deployments.
const (
	heartbeat   = 1200 * time.Millisecond
	contact     = 4000 * time.Millisecond
	configApply = 3000 * time.Millisecond
)

// record is what was sent, answered and run, with the time since the start.
type record struct {
	mutex   sync.Mutex
	started time.Time
	file    *os.File
}

func (record *record) add(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	fmt.Fprintf(record.file, "%8.3f s  %s\n", time.Since(record.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// cannotRun ends the case with status 2.
type cannotRun struct{ reason string }

func check(err error) {
	if err != nil {
		panic(cannotRun{err.Error()})
	}
}

func readLine(reader *bufio.Reader) (string, error) {
	line, err := reader.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// relay forwards connections to an address. Those that are open may go silent for good, without
// a reset, while new ones work.
type relay struct {
	address string
	mutex   sync.Mutex
	open    []*relayed
}

type relayed struct {
	mutex  sync.Mutex
	silent bool
}

func newRelay(target string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	relay := &relay{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			onward, err := net.Dial("tcp", target)
			if err != nil {
				conn.Close()
				continue
			}
			added := &relayed{}
			relay.mutex.Lock()
			relay.open = append(relay.open, added)
			relay.mutex.Unlock()
			go added.copy(conn, onward)
			go added.copy(onward, conn)
		}
	}()
	return relay
}

func (relayed *relayed) copy(from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		count, err := from.Read(buffer)
		relayed.mutex.Lock()
		silent := relayed.silent
		relayed.mutex.Unlock()
		if silent {
			continueSilently(from)
			return
		}
		if count > 0 {
			_, _ = to.Write(buffer[:count])
		}
		if err != nil {
			to.Close()
			return
		}
	}
}

// continueSilently reads and drops what still comes. Nothing is answered or closed.
func continueSilently(from net.Conn) {
	buffer := make([]byte, 4096)
	for {
		if _, err := from.Read(buffer); err != nil {
			return
		}
	}
}

// silence makes the open connections silent and returns how many they are.
func (relay *relay) silence() int {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	for _, open := range relay.open {
		open.mutex.Lock()
		open.silent = true
		open.mutex.Unlock()
	}
	return len(relay.open)
}

// freePorts returns the first of count free ports in a row. They are below those from which the
// system takes the ports of outgoing connections.
func freePorts(count int) int {
	for try := 0; try < 500; try++ {
		port, free := 12000+rand.IntN(18000), true
		for offset := 0; offset < count && free; offset++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+offset))
			if free = err == nil; free {
				listener.Close()
			}
		}
		if free {
			return port
		}
	}
	panic(cannotRun{"no free ports"})
}

// maxRun is the longest that a case may run.
const maxRun = 115 * time.Second

// processes are the started ones, which end with a case that is stopped or takes too long.
type processes struct {
	mutex sync.Mutex
	list  []*os.Process
}

var running processes

func (processes *processes) add(started *os.Process) {
	processes.mutex.Lock()
	defer processes.mutex.Unlock()
	processes.list = append(processes.list, started)
}

// endWhenStopped ends all processes and the case with status 2 at a signal or after maxRun.
func (processes *processes) endWhenStopped(record *record, folder string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxRun):
		}
		processes.mutex.Lock() // not unlocked: nothing starts any more
		for _, started := range processes.list {
			_ = started.Kill()
		}
		record.add("the case was stopped")
		_ = os.RemoveAll(folder)
		os.Exit(2)
	}()
}

// proxy is a process of the system.
type proxy struct {
	name, frontend, ready string
	command               *exec.Cmd
}

func startProxy(index int, zone, folder, storeAddress, cloudAddress string, words []string) *proxy {
	port := freePorts(6)
	address := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", port+offset) }
	started := &proxy{name: fmt.Sprintf("frontend-%s-%d", zone, index), frontend: address(0), ready: address(1)}
	settings := fmt.Sprintf(`node_name = %q
role = "frontend"
machine_class = "frontend"
serves = ["frontend"]
ip_address = "127.0.0.1"
zone = %q
region = "zagreb"
internal_port_range = [%d,%d]
seed_nodes = []
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "vip"
heartbeat_ms = %d
contracts = ["base","drain","config","cost","recover","sql","platform"]
[zones]
zone-a = "zagreb"
zone-b = "zagreb"
[listen_addrs]
frontend = %q
ready = %q
[limits]
cpu_share = 0.4
cpu_cores = 1
memory_mb = 284
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
address_reuse_s = 2
contact_ms = %d
ack_timeout_ms = 5000
catch_up_s = 4
drain_timeout_ms = 7000
grace_period_s = 6
loss_slack_ms = 200
config_apply_ms = %d
rollback_slack_ms = 250
max_skew_ms = 12000
recovery_s = 12
require_fencing = true
thaw_slack_ms = 300
[platform]
address = %q
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 3.0
partition_writes_s = 300
row_bytes = 65536
across = true
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_s = 80.0
[cloud_api]
address = %q
rate_per_s = 50.0
duties = ["promotion"]
duty_per_s = 50.0
`, started.name, zone, port+2, port+5, heartbeat.Milliseconds(), started.frontend, started.ready,
		contact.Milliseconds(), configApply.Milliseconds(), storeAddress, cloudAddress)
	path := filepath.Join(folder, started.name+".toml")
	check(os.WriteFile(path, []byte(settings), 0o600))
	output, err := os.Create(filepath.Join(folder, started.name+".log"))
	check(err)
	started.command = exec.Command(words[0], words[1:]...)
	started.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder, "ALMONDWAY_BOOT=" + path}
	started.command.Stdout, started.command.Stderr = output, output
	check(started.command.Start())
	running.add(started.command.Process)
	return started
}

func (proxy *proxy) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + proxy.ready + "/v1/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stop kills the process and waits for its end.
func (proxy *proxy) stop() {
	_ = proxy.command.Process.Signal(syscall.SIGKILL)
	_ = proxy.command.Wait()
}

// client is a session of a client.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// connect starts a session and returns the first line of the answer.
func connect(proxy *proxy, database string) (*client, string) {
	conn, err := net.DialTimeout("tcp", proxy.frontend, time.Second)
	if err != nil {
		return nil, "no connection"
	}
	check(conn.SetDeadline(time.Now().Add(4 * time.Second)))
	started := &client{conn: conn, reader: bufio.NewReader(conn)}
	fmt.Fprintf(conn, "STARTUP %s u1\r\n", database)
	line, err := readLine(started.reader)
	if err != nil {
		line = "no answer"
	}
	return started, line
}

// query sends a statement and returns the lines of the answer, up to READY.
func (client *client) query(id, text string) []string {
	_ = client.conn.SetDeadline(time.Now().Add(4 * time.Second))
	fmt.Fprintf(client.conn, "QUERY %s %s\r\n", id, text)
	var lines []string
	for {
		line, err := readLine(client.reader)
		if err != nil {
			return append(lines, "no answer")
		}
		lines = append(lines, line)
		if strings.HasPrefix(line, "READY") {
			return lines
		}
	}
}

// startProxies starts a proxy in each zone and waits until they are ready. The second result ends
// them.
func startProxies(record *record, folder, storeAddress, cloudAddress string, words []string) (proxies []*proxy, stop func()) {
	stop = func() {
		for _, started := range proxies {
			started.stop()
		}
	}
	defer func() {
		if failed := recover(); failed != nil {
			stop()
			panic(failed)
		}
	}()
	for index, zone := range []string{"zone-a", "zone-b"} {
		proxies = append(proxies, startProxy(index+1, zone, folder, storeAddress, cloudAddress, words))
	}
	for _, started := range proxies {
		deadline := time.Now().Add(20 * time.Second)
		for !started.isReady() {
			if time.Now().After(deadline) {
				panic(cannotRun{started.name + " does not become ready"})
			}
			time.Sleep(50 * time.Millisecond)
		}
		record.add("%s is ready", started.name)
	}
	return proxies, stop
}

func main() {
	os.Exit(run())
}

func run() (status int) {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: standin leaving|joining|silent PROGRAM ARGUMENT...")
		return 2
	}
	file, err := os.Create("record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	record := &record{started: time.Now(), file: file}
	folder, err := os.MkdirTemp("", "almondway-review-")
	if err != nil {
		return 2
	}
	defer os.RemoveAll(folder)
	running.endWhenStopped(record, folder)
	defer func() {
		if failed := recover(); failed != nil {
			record.add("the case could not run: %v", failed)
			status = 2
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	switch os.Args[1] {
	case "leaving":
		return playLost(record, folder, os.Args[2:], trouble, leavingReplica)
	case "joining":
		return playLost(record, folder, os.Args[2:], trouble, joiningReplica)
	case "silent":
		return playSilent(record, folder, os.Args[2:], trouble)
	default:
		return 2
	}
}
