/**
 * A stand-in for a backend server that speaks the protocol of the operators' platform (headers such
 * as {@code X-Siskinramp-Request-Id}).
 */
package org.siskinramp.standin.upstream;
