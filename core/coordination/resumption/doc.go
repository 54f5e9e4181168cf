// Package resumption decides at which software version an interrupted stream may go on. What the engines of one version stream does not
// continue the stream of another.
//
// It answers the load of rolling upgrades: engines of several versions serve side by side for a while, and meanwhile engines and
// processes end whose streams callers take up elsewhere.
package resumption
