/**
 * Stand-ins for the systems around siskinramp (platform, store, backend servers, callers) and the
 * programs that measure it. They are used in tests and measurements only.
 */
package org.siskinramp.standin;
