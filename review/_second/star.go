package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// starRequests is how many requests each daemon is sent.
const starRequests = 20

// starTarget sends requests whose target is the asterisk, which no route matches. Without trouble their target is a path.
func starTarget(ctx context.Context, folder, kind string) int {
	s, err := newSystem(ctx, folder, kind)
	if err != nil {
		fmt.Println(err)
		return exitCannot
	}
	s.putConfig(configWith(wire.Plain, 7, keptKey))
	p := &plainWorker{id: "i-7f3a91c0", service: "desk", zone: "bayangol", s: s}
	if err := p.start(ctx); err != nil {
		return s.end(exitCannot)
	}
	for range 3 {
		if _, err := s.addDaemon("bayangol", s.address); err != nil {
			return s.end(exitCannot)
		}
	}
	if !s.awaitReady(15 * time.Second) {
		s.rec.note("not all daemons became ready")
		return s.end(exitCannot)
	}
	time.Sleep(3 * time.Second)
	target, broken, signed := "*", 0, 0
	if !s.trouble {
		target = "/look/1"
	}
	for n, d := range s.daemons {
		for i := range starRequests {
			attempt := fmt.Sprintf("star-%d-%d", n, i)
			status, isSigned, err := options(d, target, attempt)
			s.rec.note("%s: OPTIONS %s at %s: %d, signed %v, ran %d times, %v", attempt, target, d.name, status, isSigned, len(p.ran(attempt)), err)
			if status >= 200 && status < 300 && !isSigned {
				broken++
				s.rec.note("MIXED broken: %s got %d without a worker's signature", attempt, status)
			}
			if isSigned {
				signed++
			}
		}
	}
	s.rec.note("%d of %d got a success without a signature, %d an answer with one", broken, starRequests*len(s.daemons), signed)
	switch {
	case broken > 0:
		return s.end(exitBroken)
	case !s.trouble && signed == 0:
		return s.end(exitCannot)
	}
	return s.end(exitHeld)
}

// options sends one OPTIONS request on a channel of its own, and returns the status and whether a worker signed the answer.
func options(d *daemon, target, attempt string) (status int, signed bool, err error) {
	conn, err := net.Dial("tcp", d.settings["front"])
	if err != nil {
		return 0, false, err
	}
	defer conn.Close()
	if err = conn.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		return 0, false, err
	}
	if _, err = fmt.Fprintf(conn, "OPTIONS %s HTTP/1.1\r\nHost: ficu95.example\r\n%s: %s\r\n%s: 1000\r\nAuthorization: Bearer %s\r\n\r\n",
		target, wire.Header["attempt"], attempt, wire.Header["deadline"], keptKey); err != nil {
		return 0, false, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, false, err
	}
	defer resp.Body.Close()
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return resp.StatusCode, false, err
	}
	return resp.StatusCode, resp.Header.Get(wire.Header["signature"]) != "", nil
}
