// Package poisonpill identifies poison pills: requests, and parts of prompts, that crash every target that runs them.
package poisonpill
