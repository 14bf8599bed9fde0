"""The shortlist service of Van der Merwe Naamkunde."""
