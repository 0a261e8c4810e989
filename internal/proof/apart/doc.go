// Package apart proves promises end to end, with every part in a process of its
// own: proxies, platform and instances are killed, cut, stopped and raced.
package apart
