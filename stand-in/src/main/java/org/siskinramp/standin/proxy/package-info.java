/** A TCP proxy that harms connections on command. */
package org.siskinramp.standin.proxy;
