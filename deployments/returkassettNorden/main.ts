import { printDeployment } from '../../src/index.js';
import { createDocumentationUrls } from '../sample.js';
import { returkassettNorden } from './deployment.js';

printDeployment(returkassettNorden(createDocumentationUrls()));
