package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
)

// settings are the fields of the platform's settings file that the template of the deploy file uses.
type settings map[string]string

// process is one daemon, started with the command of the deploy file.
type process struct {
	name, caller, health string
	// file is its settings file, and log the file of its output.
	file, log string
	door      *door

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

var placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9_.]+)\}\}`)

// fill fills in the template as the platform does.
func fill(template string, s settings) (string, error) {
	var missing []string
	text := placeholder.ReplaceAllStringFunc(template, func(m string) string {
		name := strings.Trim(m, "{}")
		v, ok := s[name]
		if !ok {
			missing = append(missing, name)
		}
		return v
	})
	if len(missing) > 0 {
		return "", fmt.Errorf("no value for %v", missing)
	}
	return text, nil
}

// freePort returns a port of the address that is free now.
func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return strconv.Itoa(l.Addr().(*net.TCPAddr).Port), nil
}

// newProcess writes the settings of a daemon on a loopback address of its own.
func newProcess(dir, name, zone, ip, storeAddress, dutyAddress string, d *door, more settings) (*process, error) {
	ports := make([]string, 4)
	for i := range ports {
		var err error
		if ports[i], err = freePort(ip); err != nil {
			return nil, err
		}
	}
	s := settings{
		"NodeName": name, "Zone": zone, "Ip": ip, "ListenAddrs.Front": ip + ":" + ports[0], "ListenAddrs.Ready": ip + ":" + ports[1],
		"InternalPorts.0": ports[2], "InternalPorts.1": ports[3], "Bounds.DrainMs": "7000", "Bounds.GraceS": "6",
		"Bounds.ConfigApplyMs": "3000", "Bootstrap": "true", "platform.Address": storeAddress, "CloudApi.Address": dutyAddress,
		"Limits.MemoryMb": "284", "Limits.MaxFds": "4300",
	}
	for k, v := range more {
		s[k] = v
	}
	template, err := os.ReadFile("deploy/edge.ini.template")
	if err != nil {
		return nil, err
	}
	text, err := fill(string(template), s)
	if err != nil {
		return nil, err
	}
	p := &process{name: name, caller: s["ListenAddrs.Front"], health: s["ListenAddrs.Ready"], door: d}
	p.file, p.log = filepath.Join(dir, name+".ini"), filepath.Join(dir, name+".log")
	return p, os.WriteFile(p.file, []byte(text), 0o600)
}

// start starts the daemon as the deploy file says.
func (p *process) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/cactusfork", "edge")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CACTUSFORK_SETTINGS=" + p.file}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended = cmd, ended
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// stop ends the process and waits for its end.
func (p *process) stop() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// startFleet starts the daemons of the site, each with an address of the store of its own. The function that it returns ends them.
func startFleet(dir string, st *store, dutyURL string) ([]*process, func(), error) {
	var fleet []*process
	var ends []func()
	stop := func() {
		for _, end := range ends {
			end()
		}
	}
	for i, zone := range []string{"stgo-a", "stgo-a", "stgo-b", "stgo-b", "rancagua", "rancagua", "talca"} {
		name := fmt.Sprintf("front-%s-%d", zone, 1+i%2)
		d := &door{s: st}
		server := d.start()
		ends = append(ends, server.Close)
		p, err := newProcess(dir, name, zone, fmt.Sprintf("127.0.0.%d", 11+i), strings.TrimPrefix(server.URL, "http://"), strings.TrimPrefix(dutyURL, "http://"), d, nil)
		if err != nil {
			return nil, stop, err
		}
		if err := p.start(); err != nil {
			return nil, stop, err
		}
		// The process ends before its address of the store does.
		ends = append([]func(){p.stop}, ends...)
		fleet = append(fleet, p)
	}
	return fleet, stop, nil
}

// configuration returns the operator's configuration: services with SyncReplicas 1, each with one route to its primary, the first under the
// name of main.
func configuration(services ...*service) map[string]any {
	var routes, list []any
	for i, s := range services {
		host := s.name
		if i == 0 {
			host = "main"
		}
		routes = append(routes, map[string]any{
			"Name": "r-" + host, "Host": host, "PathPrefix": "/", "Type": "primary", "TimeoutMs": 1000, "SloMs": 200, "Priority": 1, "Service": s.name,
			"Attempts": 2, "MaxStalenessMs": 1500,
		})
		list = append(list, map[string]any{
			"Name": s.name, "HealthPath": "/healthz", "MaxConns": 33, "Protocol": "h1", "Tls": false, "SyncReplicas": 1,
		})
	}
	return map[string]any{
		"Version": 7, "Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "TxIdleMs": 3000}, "Routes": routes, "Services": list,
	}
}

// startServices starts services of three members each, of which the first leads, and the operator's configuration of them. The ids of the first
// service are i-0 to i-2, those of the others begin with their names. The function that it returns ends them.
func startServices(st *store, rec *record, count int) ([]*service, func(), error) {
	var services []*service
	stop := func() {
		for _, s := range services {
			close(s.stop)
		}
	}
	for n := range count {
		name, prefix := "svc", "i"
		if n > 0 {
			name = fmt.Sprintf("other%d", n)
			prefix = name
		}
		s := newService(name, st, rec)
		services = append(services, s)
		for i, zone := range []string{"stgo-a", "stgo-b", "rancagua"} {
			first := []commit{{term: 1, id: name}}
			if _, err := s.add(fmt.Sprintf("%s-%d", prefix, i), zone, "", i == 0, 1, first); err != nil {
				return nil, stop, err
			}
		}
	}
	st.set("config", "main", configuration(services...))
	return services, stop, nil
}
