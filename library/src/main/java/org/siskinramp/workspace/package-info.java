/** The workspaces that share a deployment, and the keys by which their requests are recognised. */
package org.siskinramp.workspace;
