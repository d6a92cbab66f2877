/** Simulated callers that send an open-loop load and check every answer. */
package org.siskinramp.standin.caller;
