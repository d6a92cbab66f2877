/** The HTTP server and JSON reading that the stand-ins share. */
package org.siskinramp.standin.http;
