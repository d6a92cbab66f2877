/** Sets up the HTTP library for messages that are passed on unchanged. */
package org.siskinramp.daemon.http;
