"""Deployment of the shortlist service of Van der Merwe Naamkunde."""
