/**
 * A stand-in for a backend server behind the entry host daemon (headers such as {@code
 * Request-Id}). It records which requests it really ran, so that tests can compare that with the
 * answers that callers got. The stand-in for a backend server of the operators' platform is in
 * {@link org.siskinramp.standin.upstream}.
 */
package org.siskinramp.standin.server;
