package cellconfig

import (
	"fmt"
	"strings"
	"time"
)

// reservedPrefix is the path prefix of the cell's own API.
const reservedPrefix = "/v1/"

func (c *checker) checkServices() {
	services := c.file.Services
	c.checkNames("service", "name", mapStrings(services, func(s Service) string { return string(s.Name) }))
	known := setOf(mapStrings(c.file.Teams, func(t Team) string { return string(t.Name) }))
	prefixes := map[string]int{}
	for i, service := range services {
		key := fmt.Sprintf("service[%d].", i)
		c.checkReferences(key+"teams", toStrings(service.Teams), "team", known)
		c.checkPathPrefix(key+"path_prefix", service.PathPrefix)
		first, twice := prefixes[service.PathPrefix]
		c.require(!twice, key+"path_prefix", fmt.Sprintf("%q is used twice", service.PathPrefix),
			fmt.Sprintf("a prefix other than that of service[%d]", first))
		prefixes[service.PathPrefix] = i
		c.checkMethods(key+"idempotent_methods", service.IdempotentMethods)
		c.checkServiceTimes(key, service)
		c.checkServiceLimits(key, service)
	}
}

func (c *checker) checkServiceTimes(key string, s Service) {
	c.checkDuration(key+"announce_interval", s.AnnounceInterval, time.Millisecond, maxAnnounceLease)
	c.checkDuration(key+"announce_lease", s.AnnounceLease, time.Millisecond, maxAnnounceLease)
	c.require(s.AnnounceLease > 2*s.AnnounceInterval, key+"announce_lease", fmt.Sprintf("is %v", s.AnnounceLease),
		fmt.Sprintf("more than twice announce_interval, %v", 2*s.AnnounceInterval), key+"announce_interval")
	c.checkDuration(key+"default_deadline", s.DefaultDeadline, time.Millisecond, maxDuration)
	c.checkDuration(key+"max_deadline", s.MaxDeadline, time.Millisecond, maxDuration)
	c.require(s.MaxDeadline >= s.DefaultDeadline, key+"max_deadline", fmt.Sprintf("is %v", s.MaxDeadline),
		fmt.Sprintf("at least default_deadline, %v", s.DefaultDeadline), key+"default_deadline")
	c.checkDuration(key+"dispatch_window", s.DispatchWindow, time.Millisecond, maxDuration)
	c.checkDuration(key+"answer_retention", s.AnswerRetention, time.Millisecond, maxDuration)
	c.require(s.AnswerRetention >= s.MaxDeadline, key+"answer_retention", fmt.Sprintf("is %v", s.AnswerRetention),
		fmt.Sprintf("at least max_deadline, %v, so that a repeated request finds its answer", s.MaxDeadline), key+"max_deadline")
	c.checkDuration(key+"cross_region_penalty", s.CrossRegionPenalty, 0, maxDuration)
}

func (c *checker) checkServiceLimits(key string, s Service) {
	c.checkInteger(key+"max_queue", int64(s.MaxQueue), 1, maxQueueLength)
	c.checkSize(key+"max_request_bytes", s.MaxRequestBytes, 1, maxMessageBytes)
	c.checkSize(key+"replay_max_bytes", s.ReplayMaxBytes, 0, maxReplayBytes)
	c.checkNumber(key+"retry_budget", s.RetryBudget, 0, 1)
	c.checkNumber(key+"panic_threshold", s.PanicThreshold, 0, 1)
}

// maxReplayBytes limits the size of an answer that is stored for replay. It is written to the
// replicated log, whose commands are limited to 4 MiB (internal/codec).
const maxReplayBytes = 1 << 20

func (c *checker) checkPathPrefix(key, prefix string) {
	c.require(validPrefix(prefix), key, fmt.Sprintf("is %q", prefix),
		"a path such as \"/bookings/\" that starts and ends with a slash")
	c.require(!strings.HasPrefix(prefix, reservedPrefix), key, fmt.Sprintf("%q is under %s", prefix, reservedPrefix),
		"a path outside the cell's own calls")
}

// validPrefix rejects the path "/", which would include the cell's own API, and characters that have a
// special meaning in path matching.
func validPrefix(prefix string) bool {
	if len(prefix) < 3 || prefix[0] != '/' || prefix[len(prefix)-1] != '/' {
		return false
	}
	for _, part := range strings.Split(prefix[1:len(prefix)-1], "/") {
		if !validName(part) || part == "." || part == ".." {
			return false
		}
	}
	return true
}

func (c *checker) checkMethods(key string, methods []string) {
	for i, method := range methods {
		c.require(validMethod(method), fmt.Sprintf("%s[%d]", key, i), fmt.Sprintf("%q is not a method", method),
			"a method in capital letters, such as \"GET\"")
	}
	c.checkDistinct(key, methods)
}

func validMethod(method string) bool {
	for _, r := range method {
		if r < 'A' || r > 'Z' {
			return false
		}
	}
	return method != ""
}

func joinNames(names []string) string { return strings.Join(names, ", ") }
