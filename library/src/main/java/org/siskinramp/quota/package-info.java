/** Limits the requests of workspaces over all hosts by tokens that hosts mint and pass on. */
package org.siskinramp.quota;
