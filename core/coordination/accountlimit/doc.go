// Package accountlimit limits the requests of client accounts over all ingresses together. Token buckets at a few owners of each account
// grant the requests; an ingress that can't reach them has a small allowance. It answers the load of one account, or all, that asks for
// more than its limit through many ingresses, and that of ingresses that are cut off, restarted or added meanwhile.
package accountlimit
