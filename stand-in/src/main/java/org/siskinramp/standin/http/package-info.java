/** The HTTP server, JSON mapping and address parsing that the stand-ins share. */
package org.siskinramp.standin.http;
